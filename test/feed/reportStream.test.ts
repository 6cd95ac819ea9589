import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFeedServer, type FeedServer, type Report } from "../../src/feed/index.js";
import { createReportSender, type ReportSender } from "../../src/feed/reportStream.js";
import {
    createPeerConnection, createRpcServer, type PeerConnection, type RpcServer, SiteReportSummarySchema, SiteService,
} from "../../src/rpc/index.js";

function messageOf(requests: number) {
    const report: Report = {
        workByModel: {}, requests, suspectIds: [], movingIds: [], crashes: [], limits: [], draining: [], pushbacks: [],
    };
    return { daemonId: "entry-1", report: Buffer.from(JSON.stringify(report)) };
}

describe("stream of an entry's reports", () => {
    let received: number[];
    let feed: FeedServer;
    let rpc: RpcServer;
    let connection: PeerConnection;
    let sender: ReportSender;

    beforeEach(async () => {
        received = [];
        feed = createFeedServer({
            initialFrames: () => [], onReport: (_, { requests }) => received.push(requests), nowMs: () => performance.now(),
        });
        rpc = await createRpcServer("127.0.0.1:0", feed.routes);
        connection = createPeerConnection(rpc.address);
        sender = createReportSender(connection);
    });

    afterEach(async () => {
        sender.close();
        connection.close();
        feed.close();
        await rpc.stop(true);
    });

    it("delivers reports in order and answers each", async () => {
        await Promise.all([1, 2, 3].map(requests => sender.send(messageOf(requests))));
        await sender.send(messageOf(4));
        expect(received).to.deep.equal([1, 2, 3, 4]);
    });

    // Guards against a leader that stops only when its deadline has passed, because entries hold their streams open.
    it("does not delay the shutdown of the control daemon", async () => {
        await sender.send(messageOf(1));
        feed.close();
        await rpc.stop();
        expect(await sender.send(messageOf(2)).catch(() => "lost")).to.equal("lost");
    });

    // Guards against losing all later reports to one that can't be read.
    it("continues with the next report after one that cannot be read", async () => {
        expect(await sender.send({ daemonId: "entry-1", report: Buffer.from("{}") }).catch(() => "lost")).to.equal("lost");
        await sender.send(messageOf(2));
        expect(received).to.deep.equal([2]);
    });

    // Rolling upgrade: the leader is older than the stream of reports.
    it("sends reports one by one to an older control daemon, the first one included", async () => {
        const older = await createRpcServer("127.0.0.1:0", router => router.service(SiteService, {
            report(request) {
                received.push((JSON.parse(Buffer.from(request.report).toString("utf8")) as Report).requests);
                return create(SiteReportSummarySchema, {});
            },
        }));
        const olderConnection = createPeerConnection(older.address);
        const olderSender = createReportSender(olderConnection);
        await olderSender.send(messageOf(1));
        await olderSender.send(messageOf(2));
        olderConnection.close();
        await older.stop(true);
        expect(received).to.deep.equal([1, 2]);
    });

    // Guards against reports that wait forever for a leader that has stopped answering.
    it("gives a report up after a second without an answer and opens another stream", async function () {
        this.timeout(5_000);
        let streams = 0;
        const silent = await createRpcServer("127.0.0.1:0", router => router.service(SiteService, {
            async* reports() {
                streams++;
                await new Promise(resolve => setTimeout(resolve, 60_000).unref());
            },
        }));
        const silentConnection = createPeerConnection(silent.address);
        const silentSender = createReportSender(silentConnection);
        const outcomes = [await silentSender.send(messageOf(1)).catch(() => "lost"), await silentSender.send(messageOf(2)).catch(() => "lost")];
        silentConnection.close();
        await silent.stop(true);
        expect([outcomes, streams]).to.deep.equal([["lost", "lost"], 2]);
    });
});
