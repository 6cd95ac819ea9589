import { expect } from "chai";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";

/** Words that only the platform's pages use; the product has its own. */
const wireWords = [
    "heartbeatUrl", "coldRemainingMs", "Zinnialanding-", "zinnialanding-attempt-id", "api/evacuations", "api/instances", "api/config/put", "api/order", "api/report",
    "retainedCount", "apiKeys", "targetLatencyMs", "targetGapMs", "resumeStreams", "sessionAffinity", "non_idempotent", "loads_at_once", "ZINNIALANDING_NODE_FILE",
    "portRange", "machineClass", "inTolerance", "closeMode",
];

function sources(folder: string): string[] {
    return readdirSync(folder).flatMap(name => {
        const path = join(folder, name);
        return statSync(path).isDirectory() ? sources(path) : path.endsWith(".ts") ? [path] : [];
    });
}

describe("the platform's names", () => {
    it("stand in the adapter alone", () => {
        const found = sources("src").flatMap(path => {
            const text = readFileSync(path, "utf8");
            return wireWords.filter(word => text.includes(word)).map(word => `${path}: ${word}`);
        });
        expect(found).to.deep.equal([]);
    });
});
