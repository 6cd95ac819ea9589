/**
 * Timestamps of commands that advance the clocks of the replicated state.
 *
 * @module
 */

import type { Command } from "../cluster/index.js";

/**
 * Replaces the time of commands about claims and suspects with that of the daemon that appends them to the log. An entry whose clock is
 * ahead would otherwise advance the retention window and expire the keys of all callers. Voters are few, and their clocks are monitored.
 */
export function withTimestamp(command: Command): Command {
    switch (command.kind) {
        case "claim":
        case "finish-claim":
        case "report-crash":
        case "try-suspect":
        case "clear-suspect":
        case "report-crashed-parts":
        case "clear-crashed-parts":
            return { ...command, atMs: Date.now() };
        default:
            return command;
    }
}
