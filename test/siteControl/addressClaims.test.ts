import { createClient } from "@connectrpc/connect";
import { expect } from "chai";
import type { ConsensusNode } from "../../src/consensus/index.js";
import type { Announcement } from "../../src/fleet/index.js";
import { createPeerConnection, createPeerConnections, createRpcServer, type PeerConnection, type RpcServer, SiteService } from "../../src/rpc/index.js";
import { siteSchema } from "../../src/site/index.js";
import { createSiteControl, noHints, type SiteControl } from "../../src/siteControl/index.js";
import { createSiteMetrics } from "../../src/telemetry/index.js";
import { createLineLogger, createMemoryFiles } from "./builders.js";

const announcementOf = (id: string, change: Partial<Announcement> = {}): Announcement => ({
    id, service: "orders", address: "10.0.0.1:80", dataCentre: "a", bornMs: 1, sequence: 1, state: "ready", coldForMs: 0, slots: 4,
    stagedModels: [], ...change,
});

describe("upstreams of different services at one address", () => {
    let control: SiteControl;
    let rpc: RpcServer;
    let connection: PeerConnection;
    let applySite: () => void;

    beforeEach(async () => {
        const service = { name: "orders", healthPath: "/", maxConnections: 50, coldMs: 0, coldRequestsPerSecond: 0 };
        const site = siteSchema.parse({ version: 1, routes: [], limits: {}, organisations: [], services: [service] });
        const published: { site?: object; evacuated: string[] } = { evacuated: [] };
        const log = {
            leaseHeld: false, role: "follower", term: 1, appliedIndex: 1, leaderAddress: "l", voters: () => [],
            subscribe(listener: () => void) {
                applySite = () => {
                    published.site = { version: 1, text: "{}" };
                    listener();
                };
            },
            state: { published, suspects: { byFingerprint: {} } },
        } as unknown as ConsensusNode;
        control = createSiteControl({
            daemonId: "control-0", dataCentre: "a", address: "127.0.0.1:1", log, dialect: { decodeSite: () => ({ site }) },
            engines: { order: () => Promise.reject(new Error("none")), probe: () => new Promise(() => undefined), inquire: () => new Promise(() => undefined) },
            memory: { files: createMemoryFiles().files, folder: "f", remembered: noHints }, connections: createPeerConnections(),
            logger: createLineLogger().logger, metrics: createSiteMetrics(), isFirstStart: true, heartbeatMs: 1_000,
        });
        rpc = await createRpcServer("127.0.0.1:0", control.feed.routes);
        control.start();
        connection = createPeerConnection(rpc.address);
    });

    afterEach(async () => {
        control.stop();
        connection.close();
        await rpc.stop(true);
    });

    async function runningIds(): Promise<string[]> {
        const { heard } = await createClient(SiteService, connection.transport).heard({ ids: ["u1", "odd"] });
        return heard.map(({ id }) => id);
    }

    const odd = announcementOf("odd", { service: "unknown", bornMs: 2 });
    const orders = { "before an odd one": [announcementOf("u1"), odd], "after an odd one": [odd, announcementOf("u1")] };
    for (const [order, announcements] of Object.entries(orders)) {
        // Guards against a sound upstream that is out for its life because of a service that no site has, announced before the first site.
        it(`leave the one of a known service that announces itself ${order}`, async () => {
            announcements.forEach(announcement => control.recordAnnouncement(announcement));
            applySite();
            expect(await runningIds()).to.deep.equal(["u1"]);
            control.recordAnnouncement({ ...odd, sequence: 2 });
            control.recordAnnouncement(announcementOf("u1", { sequence: 2 }));
            expect(await runningIds()).to.deep.equal(["u1"]);
        });
    }

    it("don't keep an upstream of a known service from the address that another one had", async () => {
        applySite();
        control.recordAnnouncement(announcementOf("u1"));
        control.recordAnnouncement(announcementOf("odd", { bornMs: 2 }));
        expect(await runningIds()).to.deep.equal(["odd"]);
    });
});
