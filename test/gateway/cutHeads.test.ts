import { expect } from "chai";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { createGroupHead, createSite, createUpstream, type GatewaySite, startGateway } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** One in so many trials is run; 1 runs all of them. */
const stride = Number(process.env["CUT_STRIDE"] ?? 151);
const trialsAtOnce = 32;

interface Answer {
    readonly bytes: string;
    /** Undefined if it is no whole answer. */
    readonly body: string | undefined;
    /** Whether the body ends with the connection. */
    readonly isUnframed?: boolean;
}

interface Script {
    readonly bytes: string;
    readonly packets: "one" | "two" | "each byte";
    readonly ending: "stays" | "ends" | "is reset" | "is reset with the last bytes";
    /** The body that the caller may take for whole; undefined if there is none. */
    readonly body: string | undefined;
}

interface Trial {
    readonly name: string;
    readonly kind: Kind;
    /** The answers to one send after the other. Later sends get a whole one. */
    readonly scripts: readonly Script[];
    readonly sends: { readonly script: Script; readonly lastEventId: string | undefined }[];
}

interface Received {
    readonly status?: number | undefined;
    readonly isWhole: boolean;
    readonly body: string;
    readonly signature?: unknown;
}

const kinds = {
    read: { method: "GET", path: "/read/1", isRepeatable: true, isStream: false },
    head: { method: "HEAD", path: "/read/1", isRepeatable: true, isStream: false },
    charge: { method: "POST", path: "/charge/1", isRepeatable: false, isStream: false },
    caption: { method: "POST", path: "/caption/1", isRepeatable: true, isStream: true },
    once: { method: "POST", path: "/once/1", isRepeatable: false, isStream: true },
};
type Kind = keyof typeof kinds;

/** The places of the attempt's id and of the signature, as long as these. */
const marks = "Zinnialanding-Attempt-Id: IIIIIIII\r\nZinnialanding-Upstream-Signature: SS\r\n";
const events = (from: number, to: number) => [1, 2, 3].slice(from - 1, to).map(id => `id: ${id}\ndata: d\n\n`).join("");
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

function listAnswers(kind: Kind, body: string): Answer[] {
    const length = `Content-Length: ${body.length}\r\n`;
    if (kind === "head") {
        return ["1.1 200 OK\r\n", "1.0 200 OK\r\n", `1.1 200 OK\r\n${length}`, "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"]
            .map(start => ({ bytes: `HTTP/${start}${marks}\r\n`, body: "" }));
    }
    const chunked = `Transfer-Encoding: chunked\r\n\r\n${toChunk(body.slice(0, 4))}${toChunk(body.slice(4))}0\r\n`;
    const whole = `${length}\r\n${body}`;
    return [
        { bytes: `HTTP/1.1 200 OK\r\n${marks}${whole}`, body },
        { bytes: `HTTP/1.1 200 OK\r\nConnection: close\r\n${marks}${whole}`, body },
        { bytes: `HTTP/1.1 200 OK\r\n${marks}${chunked}\r\n`, body },
        { bytes: `HTTP/1.1 200 OK\r\n${marks}Connection: close\r\n${chunked}X-Sum: 12\r\n\r\n`, body },
        { bytes: `HTTP/1.1 200 OK\r\n${marks}\r\n${body}`, body, isUnframed: true },
        { bytes: `HTTP/1.0 200 OK\r\n${marks}\r\n${body}`, body, isUnframed: true },
        { bytes: `HTTP/1.0 200 OK\r\n${marks}${whole}`, body },
        { bytes: `HTTP/1.0 200 OK\r\n${marks}Connection: keep-alive\r\n${whole}`, body },
        { bytes: `HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n${marks}${whole}`, body },
        { bytes: `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n${marks}\r\n${body}`, body, isUnframed: true },
        { bytes: "HTTP/1.1 100 Continue\r\n\r\n", body: undefined },
        { bytes: `HTTP/1.1 204 No Content\r\n${marks}\r\n`, body: "" },
        { bytes: `HTTP/1.1 304 Not Modified\r\n${marks}\r\n`, body: "" },
    ];
}

/** Returns the body that is whole by HTTP if the connection ends after `sentBytes` of an answer. */
function wholeBody({ bytes, body, isUnframed }: Answer, sentBytes: number, ending: Script["ending"], isStream: boolean): string | undefined {
    if (isUnframed !== true || body === undefined) {
        return sentBytes === bytes.length ? body : undefined;
    }
    const headBytes = bytes.length - body.length;
    const sentBody = bytes.slice(headBytes, sentBytes);
    const isWhole = sentBytes >= headBytes && ending === "ends" && (!isStream || sentBody.endsWith("\n\n"));
    return isWhole ? sentBody : undefined;
}

function listCuts(kind: Kind, body: string): [name: string, script: Script][] {
    return listAnswers(kind, body).flatMap((answer, index) => Array.from({ length: answer.bytes.length + 1 }, (_, sentBytes) =>
        (["ends", "is reset", "is reset with the last bytes"] as const).flatMap(ending =>
            (["one", "two", "each byte"] as const).map((packets): [string, Script] => [
                `${kind} ${index}: ${sentBytes} bytes in packets: ${packets}; the connection ${ending}`,
                {
                    bytes: answer.bytes.slice(0, sentBytes), packets, ending,
                    body: wholeBody(answer, sentBytes, ending, kinds[kind].isStream),
                },
            ]))).flat());
}

const wholeScript = (bytes: string, body: string): Script => ({ bytes, body, packets: "one", ending: "stays" });
const refusal = wholeScript(`HTTP/1.1 503 Full\r\n${marks}Zinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`, "");
const breakingStream: Script = {
    bytes: `HTTP/1.1 200 OK\r\n${marks}Transfer-Encoding: chunked\r\n\r\n${toChunk(events(1, 1))}`,
    packets: "one", ending: "is reset", body: undefined,
};

function listTrials(kind: Kind): Trial[] {
    const body = kinds[kind].isStream ? events(1, 3) : "0123456789";
    const trials = listCuts(kind, body).flatMap(([name, script]): Trial[] => [
        { name, kind, scripts: [script], sends: [] },
        { name: `${name}, after a refusal`, kind, scripts: [refusal, script], sends: [] },
        ...kinds[kind].isRepeatable ? [{ name: `${name}, twice`, kind, scripts: [script, script], sends: [] }] : [],
    ]);
    const continued = kind !== "caption"
        ? []
        : listCuts(kind, events(2, 3)).map(([name, script]): Trial =>
                ({ name: `${name}, after a stream that breaks off`, kind, scripts: [breakingStream, script], sends: [] }));
    return [...trials, ...continued].filter((_, index) => index % stride === 0);
}

/** Returns what is wrong with what a caller has got; undefined if nothing is. */
function faultOf({ kind, sends }: Trial, { status = 0, isWhole, body, signature }: Received): string | undefined {
    const last = sends.at(-1);
    const runs = sends.filter(({ script }) => script !== refusal).length;
    if (last === undefined || (!kinds[kind].isRepeatable && runs > 1)) {
        return `sent ${sends.length} times`;
    }
    if (isWhole && status < 400) {
        const before = kinds[kind].isStream ? events(1, Number(last.lastEventId ?? 0)) : "";
        const isUpstreams = last.script.body !== undefined && body === before + last.script.body &&
            (kinds[kind].isStream || signature === `s${sends.length}`);
        return isUpstreams ? undefined : "the answer is not the upstream's";
    }
    if (isWhole && status !== 502 && status !== 504) {
        return "it has run, and its caller is told otherwise";
    }
    // The connections of those that may be repeated are used again, and may be reset while they are.
    return last.script.body !== undefined && !kinds[kind].isRepeatable ? "the answer is lost" : undefined;
}

describe("answers that are cut in their heads", () => {
    const trials = new Map<string, Trial>();
    const upstreams: RawUpstream[] = [];
    let site: GatewaySite;
    let thrown: unknown[];
    const recordThrown = (error: unknown) => thrown.push(error);

    async function play({ bytes, packets, ending }: Script, socket: Socket) {
        const sizes = { one: Infinity, two: Math.max(1, bytes.length >> 1), "each byte": 1 };
        for (let sent = 0; sent < bytes.length; sent += sizes[packets]) {
            socket.write(bytes.slice(sent, sent + sizes[packets]));
            if (packets !== "one") {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        switch (ending) {
            case "ends": return socket.end();
            case "is reset": return setTimeout(() => socket.resetAndDestroy(), 10);
            case "is reset with the last bytes": return socket.resetAndDestroy();
            case "stays": return undefined;
        }
    }

    function respond(request: RawRequest, socket: Socket) {
        const id = request.header("Zinnialanding-Attempt-Id")!;
        const { kind, scripts, sends } = trials.get(id)!;
        const lastEventId = request.header("Last-Event-Id");
        const rest = kinds[kind].isStream ? events(Number(lastEventId ?? 0) + 1, 3) : kind === "head" ? "" : "again";
        const again = wholeScript(`HTTP/1.1 200 OK\r\n${marks}Content-Length: ${rest.length}\r\n\r\n${rest}`, rest);
        const script = scripts[sends.length] ?? again;
        sends.push({ script, lastEventId });
        socket.setNoDelay();
        void play({ ...script, bytes: script.bytes.replace("IIIIIIII", id).replace("SS", `s${sends.length}`) }, socket);
    }

    function ask(id: string, kind: Kind): Promise<Received> {
        const { method, path, isStream } = kinds[kind];
        const headers = {
            Host: "shop.example", "Zinnialanding-Attempt-Id": id, "Zinnialanding-Deadline-Ms": "2500", "Api-Key": "key-1",
            ...isStream ? { "Zinnialanding-Model": "lm" } : {}, ...method === "POST" ? { "Content-Length": "1" } : {},
        };
        return new Promise(resolve => {
            const request = httpRequest({ port: site.port, method, path, headers, agent: false }, answer => {
                let body = "";
                answer.on("data", (data: Buffer) => body += data.toString()).on("error", () => undefined).on("close", () => resolve({
                    status: answer.statusCode, isWhole: answer.complete, body, signature: answer.headers["zinnialanding-upstream-signature"],
                }));
            });
            request.on("error", () => resolve({ isWhole: false, body: "" })).end(method === "POST" ? "x" : undefined);
        });
    }

    before(async () => {
        thrown = [];
        process.prependListener("uncaughtException", recordThrown);
        upstreams.push(...await Promise.all(Array.from({ length: 6 }, () => startRawUpstream(respond))));
        const { routes } = createSite();
        const once = { ...routes.find(route => route.name === "caption")!, name: "once", pathPrefix: "/once/", isResumable: false };
        site = await startGateway(
            upstreams.map(({ address }, index) => index < 3 ? createUpstream(address, `u${index}`) : createGroupHead(address, `h${index}`, index)),
            createSite({ routes: [...routes, once] }), Infinity, { onTime: 1_000, late: 0 },
        );
    });

    after(async () => {
        process.off("uncaughtException", recordThrown);
        site.stop();
        await Promise.all(upstreams.map(upstream => upstream.close()));
    });

    for (const kind of Object.keys(kinds) as Kind[]) {
        // Guards against a success whose body is a part of the upstream's, and against a request that runs twice.
        it(`are not taken for whole, and are not sent again unless they may be: ${kind}`, async function () {
            this.timeout(600_000);
            const pending = listTrials(kind);
            const faults: string[] = [];
            await Promise.all(Array.from({ length: trialsAtOnce }, async () => {
                for (let trial = pending.pop(); trial !== undefined; trial = pending.pop()) {
                    const id = String(10_000_000 + trials.size);
                    trials.set(id, trial);
                    const received = await ask(id, kind);
                    const fault = faultOf(trial, received);
                    if (fault !== undefined) {
                        faults.push(`${trial.name}: ${fault}: ${JSON.stringify(received)}`);
                    }
                }
            }));
            expect(faults).to.deep.equal([]);
            await waitUntil("all requests have ended", () => site.server.running === 0);
            expect(thrown).to.deep.equal([]);
        });
    }
});
