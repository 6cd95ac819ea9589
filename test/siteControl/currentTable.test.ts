import { expect } from "chai";
import { emptyCluster } from "../../src/cluster/index.js";
import { createCurrentTable } from "../../src/siteControl/currentTable.js";
import type { Logger } from "../../src/telemetry/index.js";
import { createSite } from "../support/gatewaySite.js";

describe("the table of the published site", () => {
    // Guards against a daemon that is busy with a text that it can't read, such as one of a newer daemon, and fills its log with it.
    it("is the last one that could be read, and each text is decoded once", () => {
        const log = { state: emptyCluster };
        const publish = (version: number, text: string) => {
            log.state = { ...emptyCluster, published: { ...emptyCluster.published, site: { version, text } } };
        };
        const decoded: string[] = [];
        const lines: string[] = [];
        const dialect = {
            decodeSite(text: string) {
                decoded.push(text);
                return text === "unreadable" ? { findings: [{ place: "x", problem: "y" }] } : { site: createSite({ version: Number(text) }) };
            },
        };
        const currentTable = createCurrentTable(log, dialect, { error: (line: string) => lines.push(line) } as unknown as Logger);
        const versions = () => [currentTable(), currentTable()].map(table => table?.site.version);
        expect(versions()).to.deep.equal([undefined, undefined]);
        const seen = (["unreadable", "2", "unreadable", "4"] as const).map((text, index) => {
            publish(index + 1, text);
            return versions();
        });
        expect(seen).to.deep.equal([[undefined, undefined], [2, 2], [2, 2], [4, 4]]);
        expect([decoded, lines.length]).to.deep.equal([["unreadable", "2", "unreadable", "4"], 2]);
    });
});
