/**
 * The log: one JSON line for each change of state, such as a lost lease, an elected leader or a configuration in force.
 * Events that happen on every request are counted in metrics instead.
 *
 * @module
 */

import type { Writable } from "node:stream";
import { createLogger as createWinston, format, type Logger, transports } from "winston";
import type { Settings } from "../config/index.js";
import { redact } from "./redact.js";

export type { Logger };

/** Redacts a log entry in place, which keeps the symbol properties that winston stores its level and message in. */
const redactSecrets = format(info => Object.assign(info, redact({ ...info })));

/** Creates a logger that writes JSON lines, each with the daemon's id, to `output`. */
export function createLogger(level: Settings["telemetry"]["logLevel"], daemonId: string, output: Writable = process.stderr): Logger {
    return createWinston({
        level,
        defaultMeta: { daemonId },
        format: format.combine(format.timestamp(), redactSecrets(), format.json()),
        transports: [new transports.Stream({ stream: output })],
    });
}
