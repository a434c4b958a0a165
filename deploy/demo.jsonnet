// One dispatcher on loopback that reads its engines from the stand-in Consul: `make demo` runs it.
local ms = { second: 1000, minute: 60 * self.second };

{
  name: 'demo-1',
  listen: '127.0.0.1:13306',
  zones: ['dc1'],
  machine_types: [{ name: 'std-8', cores: 8, memory_mb: 16384 }],
  classes: [
    { name: 'lookup', aim_ms: 1 * ms.second, deadline_ms: 5 * ms.second, effect: 'safe' },
    { name: 'report', aim_ms: 3 * ms.second, deadline_ms: 15 * ms.second, worth: 5, effect: 'safe', threads: 3 },
    // A load may not run twice, and loads of one key run in the order in which they came.
    { name: 'load', aim_ms: 3 * ms.second, deadline_ms: 25 * ms.second, worth: 6, effect: 'unsafe', threads: 2,
      in_order: true, loads: true },
  ],
  permits: { cooldown_most_ms: 500 },
  sources: [{ kind: 'consul', name: 'dc1', addresses: ['127.0.0.1:18500'], service: 'engine' }],
  register: { agent: '127.0.0.1:18500' },
}
