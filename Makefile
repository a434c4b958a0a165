.PHONY: build demo test lint run

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

demo:
	bash deploy/demo.sh

test:
	bash .ci/run

lint: .ci-venv/bin/ruff
	.ci-venv/bin/ruff check .
	.ci-venv/bin/mypy

.ci-venv/bin/ruff:
	python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install -e '.[dev]'

run: build
	.venv/bin/python -m cottonhold
