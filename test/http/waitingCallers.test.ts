import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { createWaitingCallers, type WaitingCallers } from "../../src/http/index.js";

const request = "POST /x HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";

describe("a caller whose request is carried out", () => {
    let nowMs: number;
    let callers: WaitingCallers;
    let server: Server;
    let caller: Socket;
    let answers: Promise<boolean>[];

    beforeEach(async () => {
        nowMs = 10_000;
        callers = createWaitingCallers(() => nowMs);
        answers = [];
        server = createServer(message => answers.push(callers.of(message).isWaiting())).listen(0, "127.0.0.1");
        await once(server, "listening");
        caller = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
        await once(caller, "connect");
    });

    afterEach(() => {
        callers.stop();
        caller.destroy();
        server.closeAllConnections();
        server.close();
    });

    async function send(text: string): Promise<boolean> {
        const received = once(server, "request");
        caller.write(text);
        await received;
        return answers[0]!;
    }

    it("waits while its connection is open", async () => {
        expect(await send(request)).to.equal(true);
    });

    // Guards against an order that is carried out although its caller was told nothing and left.
    it("doesn't wait once it has closed its connection, with the request or right after it", async () => {
        const received = once(server, "request");
        caller.end(request);
        await received;
        expect(await answers[0]).to.equal(false);
    });

    // Guards against a caller that has given up without its end being seen, as behind a cut, while this process stood still.
    it("may have given up if the process stood still until just now", async () => {
        nowMs += 800;
        expect(await send(request)).to.equal(false);
        await new Promise(resolve => setTimeout(resolve, 150));
        nowMs += 400;
        await new Promise(resolve => setTimeout(resolve, 150));
        nowMs += 400;
        await new Promise(resolve => setTimeout(resolve, 150));
        nowMs += 400;
        answers = [];
        expect(await send(request)).to.equal(true);
    });
});
