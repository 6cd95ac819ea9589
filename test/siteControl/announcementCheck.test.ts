import { expect } from "chai";
import { type Announcement, createDirectory } from "../../src/fleet/index.js";
import { createSiteTable, siteSchema, type SiteTable } from "../../src/site/index.js";
import { createAnnouncementCheck } from "../../src/siteControl/announcementCheck.js";
import { createRefusedInputs } from "../../src/telemetry/index.js";

const nowUnixMs = 1_700_000_000_000;
const service = { name: "orders", healthPath: "/", maxConnections: 50, coldMs: 0, coldRequestsPerSecond: 0 };
const site = createSiteTable(siteSchema.parse({ version: 1, routes: [], limits: {}, organisations: [], services: [service] }));

function announcementOf(change: Partial<Announcement> = {}): Announcement {
    return {
        id: "u1", service: "orders", address: "10.0.0.1:80", dataCentre: "a", bornMs: nowUnixMs, sequence: 1, state: "ready", coldForMs: 0,
        slots: 4, stagedModels: [], ...change,
    };
}

describe("the check of announcements", () => {
    // Guards against a start that no clock has reached, invented ids that fill the directory before the first site, and a flooded log.
    it("takes those that may be of the site's upstreams, and writes one line of each kind in ten seconds", () => {
        const directory = createDirectory();
        const lines: object[] = [];
        const counts: Record<string, number> = {};
        let [table, nowMs]: [SiteTable | undefined, number] = [site, 0];
        const refusedInputs = createRefusedInputs({
            logger: { warn: (_: string, fields: object) => lines.push(fields) } as never, nowMs: () => nowMs,
            countInputs: (kind, count) => counts[kind] = (counts[kind] ?? 0) + count,
        });
        const check = createAnnouncementCheck({
            directory, refusedInputs, table: () => table, isInTouch: () => false, nowMs: () => nowMs, nowUnixMs: () => nowUnixMs,
        });
        expect(check(announcementOf())).to.equal("taken");
        expect(check(announcementOf({ bornMs: nowUnixMs + 590_000 }))).to.equal("taken");
        expect(check(announcementOf({ bornMs: nowUnixMs + 610_000 }))).to.equal("refused");
        expect(check(announcementOf({ state: "draining" }))).to.equal("unavailable");
        expect(check(announcementOf({ service: "unknown" }))).to.equal("ignored");
        table = undefined;
        expect(check(announcementOf({ service: "unknown" }))).to.equal("taken");
        for (let index = 0; index < 20_000; index++) {
            directory.announce(announcementOf({ id: `i${index}`, address: `i${index}:80` }), nowMs);
        }
        expect([check(announcementOf()), check(announcementOf({ id: "i7" }))]).to.deep.equal(["unavailable", "taken"]);
        table = site;
        expect(check(announcementOf())).to.equal("taken");
        nowMs = 10_000;
        expect(check(announcementOf({ bornMs: nowUnixMs + 610_000 }))).to.equal("refused");
        const future = { kind: "announcement", upstream: "u1", reason: "starts in the future", bornMs: nowUnixMs + 610_000, count: 1 };
        expect(lines).to.deep.equal([
            { ...future, leftOut: 0 }, { kind: "unknown-service", upstream: "u1", service: "unknown", count: 1, leftOut: 0 },
            { ...future, leftOut: 1 },
        ]);
        expect(counts).to.deep.equal({ announcement: 3, "unknown-service": 1 });
    });
});
