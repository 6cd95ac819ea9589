/**
 * The failures of `zinnia` commands. Each kind has its own exit code, so that a script can tell "correct the file" from "send it
 * again" without parsing the message.
 *
 * @module
 */

import { type Finding, formatFinding } from "../config/index.js";

export const exitCodes = {
    done: 0,
    /** The daemon refused for a reason without its own exit code, such as a wrong token or an unknown name. */
    refused: 1,
    usage: 2,
    findings: 3,
    conflict: 4,
    /** The change may have been applied; resending it under the same change id is safe. */
    unknown: 5,
    /** No daemon made a decision, and nothing was changed. */
    unreachable: 6,
    /** The change was accepted but is not in force everywhere within the timeout. */
    pending: 7,
} as const;

/** A failure with its exit code and a code for `--json`. */
export class CommandError extends Error {
    constructor(
        message: string,
        readonly exitCode: number,
        readonly code: string,
        /** Additional fields for `--json`. */
        readonly details: Readonly<Record<string, unknown>> = {},
    ) {
        super(message);
        this.name = new.target.name;
    }
}

export class UsageError extends CommandError {
    constructor(message: string) {
        super(message, exitCodes.usage, "usage");
    }
}

export class RefusedError extends CommandError {
    constructor(message: string, code: string) {
        super(message, exitCodes.refused, code);
    }
}

/** Local files have findings; nothing was sent. */
export class FindingsError extends CommandError {
    constructor(findings: readonly Finding[]) {
        super(findings.map(formatFinding).join("\n"), exitCodes.findings, "findings", { findings });
    }
}

/** The daemon found the change invalid. */
export class InvalidChangeError extends CommandError {
    constructor(findings: readonly string[]) {
        super(`not accepted:\n${findings.map(text => `  ${text}`).join("\n")}`, exitCodes.findings, "invalid", { findings });
    }
}

export class ConflictError extends CommandError {
    constructor(version: number, winner: { changeId: string; version: number; author: string } | undefined) {
        const winnerText = winner === undefined ? "another change" : `change ${winner.changeId} by ${winner.author} (version ${winner.version})`;
        super(`not accepted: ${winnerText} came first; the configuration is at version ${version}`, exitCodes.conflict, "conflict", { version, winner });
    }
}

/** The change may have been applied; `resend` tells the operator how to send it again safely. */
export class OutcomeUnknownError extends CommandError {
    constructor(resend: string, details: Readonly<Record<string, unknown>> = {}) {
        super(`outcome unknown: the change may have been applied. ${resend}`, exitCodes.unknown, "outcome-unknown", details);
    }
}

export class UnreachableError extends CommandError {
    constructor(tried: readonly string[]) {
        super(`no daemon made a decision, and nothing was changed:\n${tried.map(text => `  ${text}`).join("\n")}`, exitCodes.unreachable, "unreachable", { tried });
    }
}

export class PendingError extends CommandError {
    constructor(version: number, changeId: string, pending: readonly string[]) {
        const waitingFor = pending.length === 0 ? "" : `; waiting for ${pending.join(", ")}`;
        super(
            `version ${version} is accepted but not yet in force everywhere${waitingFor}`,
            exitCodes.pending,
            "pending",
            { version, changeId, pending },
        );
    }
}
