import { expect } from "chai";
import { createHash } from "node:crypto";
import { createOperatorsServer, type OperatorsOptions, type OperatorsServer } from "../../src/control/operators.js";
import { isRefused, type KeptCaller, openCaller } from "../support/gatewaySite.js";
import { until } from "../support/platformSite.js";

const token = "token-1";
const removal = JSON.stringify({ id: "v1" });
const removeVoter = `POST /v1/voters/remove HTTP/1.1\r\nHost: o\r\nAuthorization: Bearer ${token}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${removal.length}\r\n\r\n${removal}`;

describe("the operators' listener when it stops", () => {
    let server: OperatorsServer;
    let operator: KeptCaller;
    let finish: () => void;
    let changes: number;

    beforeEach(async () => {
        changes = 0;
        const voters = {
            removeVoter: () => new Promise(resolve => {
                changes++;
                finish = () => resolve({ outcome: "applied" });
            }),
        } as unknown as OperatorsOptions["voters"];
        server = await createOperatorsServer({
            control: {} as OperatorsOptions["control"], voters, listen: "127.0.0.1:0", region: "r", daemonId: "c1",
            tokenHashes: [createHash("sha256").update(token).digest("hex")],
        });
        operator = await openCaller(Number(server.address.split(":")[1]));
    });

    afterEach(() => operator.close());

    // A connection that was opened ahead held the stop up until its operator left.
    it("waits for no connection that has carried nothing", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        await server.stop();
        await until("the connection ends", () => operator.isEnded);
    });

    it("tells the outcome of a change that it has taken, takes no other and ends the connection", async () => {
        operator.send(removeVoter);
        await until("it is being made", () => changes === 1);
        const stopped = server.stop();
        await until("the listener is closed", () => isRefused(Number(server.address.split(":")[1])));
        operator.send(removeVoter);
        finish();
        await stopped;
        await until("the connection ends", () => operator.isEnded);
        expect(operator.text).to.match(/^HTTP\/1.1 200 [^]*"outcome":"applied"/);
        expect(changes).to.equal(1);
    });
});
