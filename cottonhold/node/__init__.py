"""The dispatcher process: the gateway, the lifecycle and the operators' interfaces."""
