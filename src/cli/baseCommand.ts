/**
 * Base classes of the `zinnia` commands: `--json`, failures with their exit codes, the client of the operators' listeners, and
 * configuration changes with `--wait`.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { Command, Errors, Flags } from "@oclif/core";
import type { Edit } from "../cluster/configuration.js";
import { statusSchema } from "./api.js";
import { createOperatorsClient, type OperatorsClient } from "./client.js";
import { CommandError, exitCodes, PendingError, UnreachableError, UsageError } from "./errors.js";

/** The base class of all commands. `--json` prints the result of `run`; tables are printed with `this.log`. */
export abstract class ZinniaCommand extends Command {
    static override enableJsonFlag = true;

    /** Prints progress to stderr, so that stdout contains only the result, with `--json` too. */
    protected printProgress(text: string) {
        process.stderr.write(`${text}\n`);
    }

    /** Prints a failure as one message or one JSON object, and exits with its exit code. */
    override async catch(error: Error & { oclif?: { exit?: number } }) {
        const isCommandError = error instanceof CommandError;
        const exitCode = isCommandError ? error.exitCode : error.oclif?.exit ?? exitCodes.refused;
        if (this.jsonEnabled()) {
            const details = isCommandError ? { code: error.code, ...error.details } : { code: exitCode === exitCodes.usage ? "usage" : "failed" };
            this.logJson({ error: { message: error.message, exitCode, ...details } });
            process.exitCode = exitCode;
            return;
        }
        if (!isCommandError) {
            throw error;
        }
        this.printProgress(error.message);
        throw new Errors.ExitError(exitCode);
    }
}

interface OperatorsFlags {
    readonly operators: string;
    readonly "token-file"?: string | undefined;
    readonly "tls-authority"?: string | undefined;
}

function readFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw new UsageError((error as Error).message);
    }
}

function readToken(file: string | undefined): string {
    const token = file === undefined ? process.env.ZINNIA_TOKEN : readFile(file).trim();
    if (token === undefined || token === "") {
        throw new UsageError("no token: set ZINNIA_TOKEN or give --token-file");
    }
    return token;
}

/** The base class of commands that call the operators' listeners. */
export abstract class OperatorsCommand extends ZinniaCommand {
    static override baseFlags = {
        operators: Flags.string({
            description: "operators' listeners, tried in turn",
            helpValue: "host:port,...",
            env: "ZINNIA_OPERATORS",
            required: true,
        }),
        "token-file": Flags.string({ description: "file with the operator's token [default: env ZINNIA_TOKEN]" }),
        "tls-authority": Flags.string({ description: "certificate of the authority (PEM); enables TLS", env: "ZINNIA_TLS_AUTHORITY" }),
    };

    /** Runs `use` with a client, and closes the client afterwards even if `use` fails. */
    protected async withClient<Result>(flags: OperatorsFlags, use: (client: OperatorsClient) => Promise<Result>): Promise<Result> {
        const authorityFile = flags["tls-authority"];
        const client = createOperatorsClient({
            addresses: flags.operators.split(",").map(address => address.trim()).filter(address => address !== ""),
            token: readToken(flags["token-file"]),
            authority: authorityFile === undefined ? undefined : readFile(authorityFile),
        });
        try {
            return await use(client);
        }
        finally {
            await client.close();
        }
    }
}

/** The outcome of a change, for `--json`. */
export interface ChangeReport {
    readonly changeId: string;
    readonly version: number;
    readonly repeated: boolean;
    readonly inForce: boolean;
}

interface ChangeFlags {
    readonly "change-id"?: string | undefined;
    readonly author: string;
    readonly wait: boolean;
    readonly "timeout-ms": number;
}

const pollIntervalMs = 200;

/** The base class of commands that change the configuration. */
export abstract class ChangeCommand extends OperatorsCommand {
    static override baseFlags = {
        ...OperatorsCommand.baseFlags,
        "change-id": Flags.string({ description: "id of the change; a resend under the same id gets the first answer [default: a new id]" }),
        author: Flags.string({ description: "author of the change", default: async () => userInfo().username }),
        wait: Flags.boolean({ description: "wait until the change is in force everywhere, with progress on stderr" }),
        "timeout-ms": Flags.integer({ description: "how long to wait", default: 30_000, min: 1 }),
    };

    /**
     * Sends a change, and with `--wait` waits until it is in force everywhere. With `expectedVersion`, a change that was made
     * against an older version than the current one is a conflict; without it, the change applies to the current version.
     */
    protected async change(
        client: OperatorsClient,
        flags: ChangeFlags,
        expectedVersion: number | undefined,
        edits: Edit[],
    ): Promise<ChangeReport> {
        const changeId = flags["change-id"] ?? randomUUID();
        if (flags.wait) {
            this.printProgress(`pending: change ${changeId}`);
        }
        const answer = await client.change({ changeId, expectedVersion, author: flags.author, edits });
        const { version, repeated } = answer;
        if (flags.wait) {
            this.printProgress(`accepted: version ${version}${repeated ? " (by an earlier request)" : ""}`);
        }
        const inForce = answer.inForce || (flags.wait ? await this.waitUntilInForce(client, flags, version, changeId) : false);
        if (flags.wait) {
            this.printProgress("in force everywhere");
        }
        this.log(`version ${version} accepted${inForce ? ", in force everywhere" : ", not yet in force everywhere"}`);
        return { changeId, version, repeated, inForce };
    }

    /**
     * Polls until `version` is in force everywhere. The change is already accepted, so a failing listener is polled again: its
     * error would read as "nothing was changed".
     */
    private async waitUntilInForce(client: OperatorsClient, flags: ChangeFlags, version: number, changeId: string): Promise<true> {
        const deadlineMs = performance.now() + flags["timeout-ms"];
        let lastShown = "";
        for (;;) {
            const pending = await this.findPending(client, version);
            if (pending === undefined) {
                return true;
            }
            if (performance.now() >= deadlineMs) {
                throw new PendingError(version, changeId, pending);
            }
            const waitingFor = pending.join(", ");
            if (waitingFor !== lastShown) {
                this.printProgress(`waiting for ${waitingFor}`);
                lastShown = waitingFor;
            }
            await sleep(pollIntervalMs);
        }
    }

    /** Returns what is missing until `version` is in force everywhere, such as lagging lease holders; `undefined` once it is. */
    private async findPending(client: OperatorsClient, version: number): Promise<readonly string[] | undefined> {
        try {
            // Only the leader receives acknowledgements of lease holders, so only it knows which version is in force.
            const status = await client.get("/v1/status", statusSchema, answer => answer.leads);
            if (status.inForceVersion !== undefined && status.inForceVersion >= version) {
                return undefined;
            }
            const laggingHolders = status.holders.filter(holder => holder.configurationVersion < version).map(holder => holder.daemonId);
            return status.leads ? laggingHolders : ["a leader"];
        }
        catch (error) {
            if (error instanceof UnreachableError) {
                return ["a listener that answers"];
            }
            throw error;
        }
    }
}
