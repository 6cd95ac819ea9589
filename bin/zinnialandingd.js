#!/usr/bin/env node
await import("../dist/src/daemon.js");
