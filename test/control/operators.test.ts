import { expect } from "chai";
import { createHash } from "node:crypto";
import { createOperatorsServer, type OperatorsOptions, type OperatorsServer } from "../../src/control/operators.js";
import { refusesConnections, type KeepAliveCaller, openCaller } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";

const token = "token-1";
const removalBody = JSON.stringify({ id: "v1" });
const removeVoterRequest = `POST /v1/voters/remove HTTP/1.1\r\nHost: o\r\nAuthorization: Bearer ${token}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${removalBody.length}\r\n\r\n${removalBody}`;

describe("operators' listener shutdown", () => {
    let server: OperatorsServer;
    let operator: KeepAliveCaller;
    let completeChange: () => void;
    let changeCount: number;

    beforeEach(async () => {
        changeCount = 0;
        const voters = {
            removeVoter: () => new Promise(resolve => {
                changeCount++;
                completeChange = () => resolve({ outcome: "applied" });
            }),
        } as unknown as OperatorsOptions["voters"];
        server = await createOperatorsServer({
            control: {} as OperatorsOptions["control"], voters, listen: "127.0.0.1:0", region: "r", daemonId: "c1",
            tokenHashes: [createHash("sha256").update(token).digest("hex")],
        });
        operator = await openCaller(Number(server.address.split(":")[1]));
    });

    afterEach(() => operator.close());

    // Guards against a connection without a request, such as a preconnected one, that delays the shutdown until its client disconnects.
    it("does not wait for a connection that has not carried a request", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        await server.stop();
        await waitUntil("the connection ends", () => operator.isEnded);
    });

    // Guards against a removal that its operator has given up on and that undoes a newer addition.
    it("does not carry out a change of voters whose operator has left", async () => {
        operator.socket.end(removeVoterRequest);
        await waitUntil("the connection ends", () => operator.isEnded);
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(changeCount).to.equal(0);
        await server.stop();
    });

    it("answers a change in progress, accepts no further change and closes the connection", async () => {
        operator.send(removeVoterRequest);
        await waitUntil("the change is in progress", () => changeCount === 1);
        const stopped = server.stop();
        await waitUntil("the listener is closed", () => refusesConnections(Number(server.address.split(":")[1])));
        operator.send(removeVoterRequest);
        completeChange();
        await stopped;
        await waitUntil("the connection ends", () => operator.isEnded);
        expect(operator.text).to.match(/^HTTP\/1.1 200 [^]*"outcome":"applied"/);
        expect(changeCount).to.equal(1);
    });
});
