/**
 * The client of the operators' HTTP interface. It tries the listeners in turn and decides what a lost answer means: a change whose
 * request may have been sent is "outcome unknown", never "not accepted".
 *
 * @module
 */

import { Agent, type Dispatcher, errors, request } from "undici";
import { z } from "zod";
import type { Edit } from "../cluster/configuration.js";
import { type AcceptedAnswer, acceptedSchema, conflictSchema, invalidSchema, refusalSchema, serverErrorSchema } from "./api.js";
import { ConflictError, InvalidChangeError, OutcomeUnknownError, RefusedError, UnreachableError } from "./errors.js";

/** Longer than a commit under load takes, and short enough to try the next listener. */
const answerTimeoutMs = 5_000;
const connectTimeoutMs = 2_000;

export interface ClientOptions {
    /** The addresses of the operators' listeners, each "host:port". */
    readonly addresses: readonly string[];
    readonly token: string;
    /** The certificate of the authority (PEM); if set, the client connects with TLS. */
    readonly authority?: string | undefined;
}

export interface Change {
    readonly changeId: string;
    readonly expectedVersion?: number | undefined;
    readonly author: string;
    readonly edits: readonly Edit[];
}

export interface OperatorsClient {
    /** Returns the first answer that `isAcceptable` accepts, or the last answer if it accepts none. */
    get<Schema extends z.ZodType>(
        path: string,
        schema: Schema,
        isAcceptable?: (answer: z.infer<Schema>) => boolean,
    ): Promise<z.infer<Schema>>;
    /** Changes the configuration; can safely be called again with the same change. */
    change(change: Change): Promise<AcceptedAnswer>;
    /** Posts a request that the daemon itself makes idempotent. */
    post(path: string, body: object): Promise<unknown>;
    close(): Promise<void>;
}

interface Answer {
    readonly status: number;
    readonly body: unknown;
}

/** The result of one attempt at one listener. */
type AttemptResult =
    | { readonly kind: "answer"; readonly answer: Answer }
    /** The request was not sent, or the daemon did not run it. */
    | { readonly kind: "not-taken"; readonly reason: string; readonly leaderOperators?: string | undefined }
    /** The daemon may have run the request. */
    | { readonly kind: "doubt"; readonly reason: string };

/** Whether a request failed before any byte was sent. After any other failure the daemon may have run it. */
function failedBeforeSending(error: unknown): boolean {
    const code = (error as NodeJS.ErrnoException).code;
    return error instanceof errors.ConnectTimeoutError || ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND"].includes(code ?? "");
}

function parseBody(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function classifyAnswer(address: string, answer: Answer): AttemptResult {
    if (answer.status < 500) {
        return { kind: "answer", answer };
    }
    const { code = `status-${answer.status}`, execution, leaderOperators } = serverErrorSchema.safeParse(answer.body).data ?? {};
    const reason = `${address}: ${code}`;
    return execution === "not-run" ? { kind: "not-taken", reason, leaderOperators } : { kind: "doubt", reason };
}

function createRefusedError(answer: Answer): RefusedError {
    const { code = `status-${answer.status}`, detail, findings } = refusalSchema.safeParse(answer.body).data ?? {};
    const reason = detail ?? findings?.join("; ") ?? code;
    return new RefusedError(answer.status === 401 ? "not authorised: check the token" : `refused: ${reason}`, code);
}

/** Validates the body of an answer; a mismatch means that the daemon and this tool have different versions. */
function readBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> {
    const checked = schema.safeParse(body);
    if (!checked.success) {
        throw new RefusedError(`the daemon's answer doesn't match the expected schema:\n${z.prettifyError(checked.error)}`, "unexpected-answer");
    }
    return checked.data;
}

function readChangeAnswer(answer: Answer): AcceptedAnswer {
    if (answer.status === 409) {
        const conflict = readBody(conflictSchema, answer.body);
        throw new ConflictError(conflict.version, conflict.winner);
    }
    if (answer.status === 422) {
        throw new InvalidChangeError(readBody(invalidSchema, answer.body).findings);
    }
    return readBody(acceptedSchema, requireOkBody(answer));
}

function requireOkBody(answer: Answer): unknown {
    if (answer.status !== 200) {
        throw createRefusedError(answer);
    }
    return answer.body;
}

/** Creates a client of the operators' listeners; it keeps connections open until `close`. */
export function createOperatorsClient(options: ClientOptions): OperatorsClient {
    const dispatcher = new Agent({
        connect: { ca: options.authority, timeout: connectTimeoutMs },
        headersTimeout: answerTimeoutMs,
        bodyTimeout: answerTimeoutMs,
    });
    const scheme = options.authority === undefined ? "http" : "https";

    async function tryOnce(address: string, method: Dispatcher.HttpMethod, path: string, body: object | undefined): Promise<AttemptResult> {
        try {
            const response = await request(`${scheme}://${address}${path}`, {
                method,
                dispatcher,
                headers: { authorization: `Bearer ${options.token}`, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            return classifyAnswer(address, { status: response.statusCode, body: parseBody(await response.body.text()) });
        }
        catch (error) {
            const reason = `${address}: ${(error as Error).message || (error as NodeJS.ErrnoException).code}`;
            return failedBeforeSending(error) ? { kind: "not-taken", reason } : { kind: "doubt", reason };
        }
    }

    /** Tries the listeners, then the leader's listener if an answer names it, until one answers; `tried` collects the other attempts. */
    async function tryAll(
        method: Dispatcher.HttpMethod,
        path: string,
        body?: object,
        isAcceptable: (answer: Answer) => boolean = () => true,
    ): Promise<{ answer?: Answer; tried: AttemptResult[] }> {
        const addresses = [...options.addresses];
        const tried: AttemptResult[] = [];
        for (let index = 0; index < addresses.length; index++) {
            const result = await tryOnce(addresses[index]!, method, path, body);
            if (result.kind === "answer" && isAcceptable(result.answer)) {
                return { answer: result.answer, tried };
            }
            tried.push(result);
            if (result.kind === "not-taken" && result.leaderOperators !== undefined && !addresses.includes(result.leaderOperators)) {
                addresses.push(result.leaderOperators);
            }
        }
        return { tried };
    }

    function createUnreachableError(tried: readonly AttemptResult[]): UnreachableError {
        return new UnreachableError(tried.flatMap(item => item.kind === "answer" ? [] : [item.reason]));
    }

    function createUndecidedError(tried: readonly AttemptResult[], resend: string, changeId?: string) {
        return tried.some(item => item.kind === "doubt") ? new OutcomeUnknownError(resend, { changeId }) : createUnreachableError(tried);
    }

    return {
        async get(path, schema, isAcceptable = () => true) {
            let lastBody: z.infer<typeof schema> | undefined;
            const { answer, tried } = await tryAll("GET", path, undefined, found => {
                lastBody = readBody(schema, requireOkBody(found));
                return isAcceptable(lastBody);
            });
            if (answer === undefined && lastBody === undefined) {
                throw createUnreachableError(tried);
            }
            return lastBody!;
        },
        async change(change) {
            const { answer, tried } = await tryAll("POST", "/v1/configuration/changes", change);
            if (answer !== undefined) {
                return readChangeAnswer(answer);
            }
            throw createUndecidedError(tried, `Send it again with --change-id ${change.changeId}: it is applied at most once.`, change.changeId);
        },
        async post(path, body) {
            const { answer, tried } = await tryAll("POST", path, body);
            if (answer === undefined) {
                throw createUndecidedError(tried, "Send it again: it is applied at most once.");
            }
            return requireOkBody(answer);
        },
        close: () => dispatcher.close(),
    };
}
