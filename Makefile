.PHONY: demo test
demo:
	./scripts/demo.sh

test:
	./scripts/test.sh
