import { expect } from "chai";
import { type CpuProfile, partOf, summarizeProfile } from "../../bench/profile/cpuProfile.js";

const frame = (functionName: string, url = "", lineNumber = 0) => ({ functionName, url, lineNumber });

describe("the summary of a CPU profile", () => {
    it("adds up processor time by function and part, and finds the longest stretch without idling", () => {
        const profile: CpuProfile = {
            nodes: [
                { id: 1, callFrame: frame("(idle)") }, { id: 2, callFrame: frame("choose", "file:///app/dist/src/gateway/balancer.js", 41) },
                { id: 3, callFrame: frame("", "file:///app/node_modules/@bufbuild/protobuf/dist/create.js", 9) },
                { id: 4, callFrame: frame("(garbage collector)") },
            ],
            startTime: 0, endTime: 100_000, samples: [1, 2, 3, 1, 2, 4, 2], timeDeltas: [0, 10_000, 20_000, 5_000, 30_000, 1_000, 2_000],
        };
        expect(summarizeProfile(profile, { fromMs: 0, toMs: Infinity })).toMatchSnapshot();
        expect(summarizeProfile(profile, { fromMs: 20, toMs: 60 }).busyMs).to.equal(5);
    });

    it("names folders of the project, packages, and the runtime", () => {
        const parts = [
            frame("a", "file:///app/dist/platform/main.js"), frame("b", "file:///app/node_modules/undici/index.js"), frame("c", "node:net"),
            frame("writev"),
        ];
        expect(parts.map(partOf)).to.deep.equal(["platform", "undici", "node.js", "runtime"]);
    });
});
