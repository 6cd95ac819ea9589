import { expect } from "chai";
import { createLogView, type LogView } from "../../src/gateway/logView.js";
import type { Logger } from "../../src/telemetry/index.js";

describe("an entry's state of the log", () => {
    let nowMs: number;
    let lines: string[];
    let view: LogView;

    beforeEach(() => {
        nowMs = 0;
        lines = [];
        view = createLogView({ logger: { info: (line: string) => lines.push(line) } as unknown as Logger, nowMs: () => nowMs });
    });

    it("names the leader, the index and the time since they were last confirmed", () => {
        view.record({ clusterId: "c", term: 2, index: 7, leader: "10.0.0.1:1" }, "10.0.0.2:1");
        nowMs = 400;
        expect(view.fields).to.deep.equal({ index: 7, term: 2, leader: "10.0.0.1:1", ageMs: 400 });
        view.record({ clusterId: "c", term: 2, index: 7, leader: "10.0.0.1:1" }, "10.0.0.3:1");
        expect(view.fields?.ageMs).to.equal(0);
    });

    // Guards against a state that counts as confirmed by a daemon that is behind or cut off from the leader.
    it("is not confirmed by an older index or by a daemon without a leader", () => {
        view.record({ clusterId: "c", term: 2, index: 7, leader: "10.0.0.1:1" }, undefined);
        nowMs = 400;
        view.record({ clusterId: "c", term: 2, index: 6, leader: "10.0.0.1:1" }, undefined);
        view.record({ clusterId: "c", term: 2, index: 9, leader: undefined }, undefined);
        expect(view.fields).to.deep.equal({ index: 7, term: 2, leader: "10.0.0.1:1", ageMs: 400 });
    });

    it("writes a line when it becomes old and when it is fresh again", () => {
        view.record({ clusterId: "c", term: 2, index: 7, leader: "10.0.0.1:1" }, undefined);
        nowMs = 2_000;
        view.checkAge();
        view.checkAge();
        view.record({ clusterId: "c", term: 2, index: 7, leader: "10.0.0.1:1" }, undefined);
        view.checkAge();
        expect(lines).to.deep.equal(["state of the log", "state of the log is old", "state of the log"]);
    });
});
