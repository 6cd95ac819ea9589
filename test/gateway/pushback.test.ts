import { expect } from "chai";
import * as fc from "fast-check";
import { createPushbacks, type Upstream } from "../../src/fleet/index.js";
import { createBalancer } from "../../src/gateway/balancer.js";
import {
    createGroupHead, createSite, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway,
} from "../support/gatewaySite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";
import { candidate } from "./candidates.js";

const signed = "Zinnialanding-Upstream-Signature: s1\r\n";
const echoId = (request: RawRequest) => `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n`;

function pushback(request: RawRequest, seconds: number): string {
    return `HTTP/1.1 503 Busy\r\n${echoId(request)}Zinnialanding-Not-Executed: 1\r\nRetry-After: ${seconds}\r\nContent-Length: 0\r\n\r\n`;
}

function done(request: RawRequest): string {
    return `HTTP/1.1 200 OK\r\n${echoId(request)}${signed}Content-Length: 4\r\n\r\ndone`;
}

function retryAfterSOf(answer: string): number {
    return Number(/^retry-after: (.*)$/im.exec(answer)?.[1]);
}

/** Starts an upstream that turns its first request away for `seconds` and serves all others. */
function startPushingBack(seconds: number): Promise<RawUpstream> {
    return startRawUpstream((request, socket, index) => socket.write(index === 0 ? pushback(request, seconds) : done(request)));
}

describe("an entry whose upstream pushes back", () => {
    const upstreams: RawUpstream[] = [];
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await Promise.all(upstreams.splice(0).map(upstream => upstream.close()));
    });

    async function start(...starting: Promise<RawUpstream>[]): Promise<RawUpstream[]> {
        upstreams.push(...await Promise.all(starting));
        return upstreams;
    }

    const read = () => exchangeRaw(site.port, encodeRequest("GET", "/read/1"));
    const charge = () => exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));

    // Guards against requests that are held, or sent all the same, while every upstream wants none.
    it("rejects at once, with the time until the first upstream accepts requests, while every upstream has pushed back", async () => {
        const [first, second] = await start(startPushingBack(30), startPushingBack(20)) as [RawUpstream, RawUpstream];
        site = await startGateway([createUpstream(first.address, "u1"), createUpstream(second.address, "u2")]);
        const answers = [await charge(), await charge(), await read()];
        expect(answers.map(parseStatus)).to.deep.equal([503, 503, 503]);
        expect([first.requests.length, second.requests.length]).to.deep.equal([1, 1]);
        answers.map(retryAfterSOf).forEach(seconds => expect(seconds).to.be.within(18, 21));
    });

    // Guards against a rejection that sends callers back to the only upstream before it accepts requests.
    it("rejects the request that was turned away with the pushback's time if there is no other upstream", async () => {
        const [only] = await start(startPushingBack(30)) as [RawUpstream];
        site = await startGateway([createUpstream(only.address, "u1")]);
        expect(retryAfterSOf(await charge())).to.be.within(29, 31);
    });

    it("serves from the others meanwhile, and sends it requests again afterwards", async () => {
        const answerMs = 200;
        const [first, second] = await start(startPushingBack(0.6), startRawUpstream((request, socket) => {
            setTimeout(() => socket.write(done(request)), answerMs);
        }));
        site = await startGateway([createUpstream(first!.address, "u1"), createUpstream(second!.address, "u2", { dataCentre: "b" })]);
        expect([await read(), await charge()].map(parseStatus)).to.deep.equal([200, 200]);
        expect([first!.requests.length, second!.requests.length]).to.deep.equal([1, 2]);
        await new Promise(resolve => setTimeout(resolve, 600));
        await Promise.all(Array.from({ length: 16 }, read));
        expect(first!.requests.length).to.be.greaterThan(1);
    });

    // Guards against a continued stream that ignores the pushback of the only other upstream.
    it("breaks a stream off rather than continue it at an upstream that has pushed back", async () => {
        const [broken, refusing] = await start(startRawUpstream((request, socket, index) => {
            const isWhole = index === 0;
            socket.write(`HTTP/1.1 200 OK\r\n${echoId(request)}${signed}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n`);
            setTimeout(() => isWhole ? socket.end() : socket.resetAndDestroy(), 200);
        }), startPushingBack(30)) as [RawUpstream, RawUpstream];
        site = await startGateway([createGroupHead(refusing.address, "u1", 1), createGroupHead(broken.address, "u2", 2)]);
        const headers = { "Zinnialanding-Model": "lm", "Zinnialanding-Token-Usage": "20,30" };
        const caption = () => exchangeRaw(site.port, encodeRequest("POST", "/caption/1", { body: "x", headers }), 800);
        expect(await caption()).to.match(/data: 1[^]*\r\n0\r\n\r\n$/);
        expect(await caption()).to.match(/data: 1\s+$/);
        expect([refusing.requests.length, broken.requests.length]).to.deep.equal([1, 2]);
    });

    // Guards against a pushback that is forgotten when the configuration changes or the upstream restarts under its id: an answer doesn't
    // say which incarnation has sent it, and the new one may have been the one that pushed back.
    it("keeps it over a new configuration and a restart under the same id, but not for another upstream at the address", async () => {
        const [only] = await start(startPushingBack(30)) as [RawUpstream];
        site = await startGateway([createUpstream(only.address, "u1")]);
        await charge();
        site.view.apply({ kind: "site", version: createSite().version + 1, text: "" });
        site.view.apply({ kind: "upstreams", upstreams: [createUpstream(only.address, "u1", { bornMs: 2 })] });
        expect(parseStatus(await charge())).to.equal(503);
        expect(only.requests).to.have.length(1);
        site.view.apply({ kind: "upstreams", upstreams: [createUpstream(only.address, "u2", { bornMs: 3 })] });
        expect(parseStatus(await charge())).to.equal(200);
    });
});

describe("pushbacks", () => {
    const activationMs = 500;

    // Guards against any order of refusals, successes, failures and restarts that lets a request through while an upstream wants none.
    it("are kept whatever other answers come meanwhile", () => {
        const step = fc.record({
            waitMs: fc.integer({ min: 0, max: 900 }),
            answer: fc.constantFrom("served", "failed", "refused", "pushed back", "restarted"),
            forMs: fc.integer({ min: 0, max: 5_000 }),
        });
        fc.assert(fc.property(fc.array(step, { maxLength: 200 }), steps => {
            let nowMs = 1_000;
            let bornMs = 1;
            const pushbacks = createPushbacks(() => nowMs, () => undefined);
            const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1, pushbackLeftMs: pushbacks.leftMs });
            const received: { atMs: number; untilMs: number }[] = [];
            const [one, other] = [candidate("u1"), candidate("u2")];
            const current = (): Upstream => ({ ...one.upstream, bornMs });
            for (const { waitMs, answer, forMs } of steps) {
                nowMs += waitMs;
                const options = { without: new Set<string>(), coldRequestsPerSecond: 0, dataCentre: "a", hasIdle: () => false };
                const chosen = balancer.choose([{ ...one, upstream: current() }, other], options)!;
                if (answer === "restarted") {
                    bornMs++;
                }
                if (chosen.upstream.id !== "u1") {
                    continue;
                }
                const isUnwanted = received.some(({ atMs, untilMs }) => nowMs > atMs + activationMs && nowMs < untilMs);
                expect(isUnwanted, `request at ${nowMs} ms`).to.equal(false);
                balancer.requestSent(current(), false);
                balancer.requestEnded(current());
                if (answer === "pushed back") {
                    pushbacks.record("u1", forMs);
                    received.push({ atMs: nowMs, untilMs: nowMs + forMs });
                }
                answer === "served" ? balancer.requestSucceeded(current()) : balancer.requestFailed(current());
            }
        }), { seed: 43, numRuns: 300 });
    });
});
