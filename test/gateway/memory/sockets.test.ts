import { expect } from "chai";
import type { Socket } from "node:net";
import { sumOf } from "../../../src/gateway/memory/account.js";
import { createMemory, type Memory } from "../../../src/gateway/memory/index.js";
import {
    createGroupHead, createSite, createUpstream, encodeRequest, type GatewaySite, openCaller, parseStatus, startGateway,
} from "../../support/gatewaySite.js";
import { waitUntil } from "../../support/platformSite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../../support/rawUpstream.js";
import { logger } from "./world.js";

const mib = 1_048_576;
const plainSite = createSite();
/** Routes without a timeout that could end a request before its caller is disconnected. */
const site = createSite({
    limits: { ...plainSite.limits, maxBodyBytes: 4 * mib }, routes: plainSite.routes.map(route => ({ ...route, timeoutMs: 20_000 })),
});

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function answerHead(request: RawRequest, more: string): string {
    return `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
        `Zinnialanding-Upstream-Signature: s1\r\n${more}\r\n`;
}

describe("an entry with a memory limit", () => {
    let upstream: RawUpstream;
    let gateway: GatewaySite;
    let memory: Memory;
    let actions: string[];
    let mostBytes: number;
    let watch: NodeJS.Timeout;

    async function start(respond: (request: RawRequest, socket: Socket) => void, isGroup = false) {
        upstream = await startRawUpstream(respond);
        actions = [];
        mostBytes = 0;
        memory = createMemory({
            limitMb: 110, logger, nowMs: () => performance.now(), count: (action, reason) => actions.push(`${action} ${reason}`),
        });
        const upstreams = [isGroup ? createGroupHead(upstream.address, "g1", 1) : createUpstream(upstream.address, "u1")];
        gateway = await startGateway(upstreams, site, Infinity, { onTime: 100, late: 0 }, {}, undefined, memory);
        watch = setInterval(() => {
            mostBytes = Math.max(mostBytes, sumOf(memory.held));
        }, 1);
    }

    afterEach(async () => {
        clearInterval(watch);
        gateway.stop();
        await upstream.close();
    });

    // Guards against a caller who does not read and by whom the process grows, or the events of another are delayed.
    it("disconnects a caller who does not read; the events of another come complete and in time", async () => {
        const firehose: Socket[] = [];
        const eventIntervalMs = 20;
        const events = 150;
        await start((request, socket) => {
            socket.write(answerHead(request, "Content-Type: text/event-stream\r\n"));
            if (request.head.includes("/caption/idle")) {
                firehose.push(socket);
                const block = Buffer.from("data: ".padEnd(65_534, "x") + "\n\n");
                const pump = () => {
                    while (!socket.destroyed && socket.write(block)) {
                        // Writes until the socket's buffer is full.
                    }
                };
                socket.on("drain", pump);
                pump();
                return;
            }
            let sent = 0;
            const timer = setInterval(() => {
                socket.write(`id: ${++sent}\ndata: ${Date.now()}\n\n`);
                if (sent === events) {
                    clearInterval(timer);
                    socket.end();
                }
            }, eventIntervalMs);
        }, true);
        const headers = { "Zinnialanding-Deadline-Ms": "15000", "Zinnialanding-Model": "lm" };
        const idle = await openCaller(gateway.port);
        idle.socket.pause();
        idle.send(encodeRequest("GET", "/caption/idle", { id: "idle", headers }));
        const reading = await openCaller(gateway.port);
        const delaysMs: number[] = [];
        reading.socket.on("data", chunk => {
            const sentAtMs = [...chunk.toString().matchAll(/data: (\d+)\n/g)].map(([, time]) => Number(time));
            sentAtMs.forEach(time => delaysMs.push(Date.now() - time));
        });
        reading.send(encodeRequest("GET", "/caption/reads", { id: "reads", headers }));
        await waitUntil("the idle caller is cut off", () => actions.includes("cut-off takes-nothing"));
        await waitUntil("the upstream's work has ended", () => firehose[0]!.destroyed);
        await waitUntil("all events have come", () => delaysMs.length >= events);
        const ids = [...reading.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
        expect(ids).to.deep.equal(Array.from({ length: events }, (_, index) => index + 1));
        expect(Math.max(...delaysMs)).to.be.below(500);
        expect(mostBytes).to.be.below(memory.boundBytes);
        // The idle caller sees that the stream broke off.
        idle.socket.resume();
        await waitUntil("the idle caller sees the end", () => idle.isEnded);
        expect(idle.text.endsWith("0\r\n\r\n")).to.equal(false);
        idle.close();
        reading.close();
        await waitUntil("nothing is held", () => sumOf(memory.held) === 0);
    });

    // Guards against an answer that the upstream cuts off, because it stays unread for as long as its caller is slow.
    it("brings an answer of 600 KiB whole to a caller that reads after 3 s, though the upstream waits for 1 s only", async () => {
        const body = "x".repeat(600 * 1_024);
        await start((request, socket) => {
            socket.write(answerHead(request, `Content-Length: ${body.length}\r\n`) + body);
            setTimeout(() => socket.writableLength > 0 && socket.destroy(), 1_000);
        });
        const caller = await openCaller(gateway.port);
        caller.socket.pause();
        caller.send(encodeRequest("GET", "/read/1", { headers: { "Zinnialanding-Deadline-Ms": "10000" } }));
        await pause(3_000);
        caller.socket.resume();
        await waitUntil("the answer has come", () => caller.text.length > body.length);
        expect(parseStatus(caller.text)).to.equal(200);
        expect(caller.text.endsWith(`\r\n\r\n${body}`)).to.equal(true);
        caller.close();
        await waitUntil("nothing is held", () => sumOf(memory.held) === 0);
    });

    // Guards against bodies whose sum passes the bound, and against those that are paused and never read on.
    it("bounds a burst of bodies of 4 MiB, and reads those that were paused once there is room", async () => {
        await start((request, socket) => setTimeout(() => socket.write(answerHead(request, "Content-Length: 4\r\n") + "done"), 100));
        const body = "x".repeat(4 * mib);
        const callers = await Promise.all(Array.from({ length: 12 }, () => openCaller(gateway.port)));
        callers.forEach((caller, index) =>
            caller.send(encodeRequest("POST", "/charge/1", { id: `c${index}`, body, headers: { "Zinnialanding-Deadline-Ms": "20000" } })));
        await waitUntil("all have answers", () => callers.every(({ text }) => parseStatus(text) !== undefined));
        const statuses = callers.map(({ text }) => parseStatus(text));
        expect(statuses.filter(status => status === 200).length).to.be.at.least(4);
        expect(statuses.every(status => status === 200 || status === 503)).to.equal(true);
        expect(actions).to.include("pause body");
        expect(upstream.requests).to.have.length(statuses.filter(status => status === 200).length);
        expect(upstream.requests.every(request => request.body === body)).to.equal(true);
        expect(mostBytes).to.be.below(memory.boundBytes);
        callers.forEach(caller => caller.close());
        await waitUntil("nothing is held", () => sumOf(memory.held) === 0);
    });
});
