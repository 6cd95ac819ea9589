import { expect } from "chai";
import { type ChangeConfiguration, applyConfigurationChange, emptyConfiguration, maxChangesWithEdits, maxHistoryLength } from "../../src/cluster/index.js";

const service = { name: "captions", kind: "model" as const, replicaVms: 4, sparesPerDomain: 0, capacity: 8, coldCapacity: 1 };

function addClass(changeId: string, expectedVersion: number, latenessMs: number): ChangeConfiguration {
    const serviceClass = { name: "counter", service: "captions", latenessMs, deadlineMs: 10_000, deliveryShare: 0.99 };
    const configuration = { classes: [serviceClass], services: [service], organisations: [], dataCentres: [] };
    return { kind: "change-configuration", changeId, expectedVersion, author: "a", atMs: 1, edits: [{ kind: "replace", configuration }] };
}

describe("cluster configuration", () => {
    // Two operators change the same version. The second gets a conflict with the accepted change. The first, whose response was lost,
    // resends its change and gets the original result.
    it("reports the accepted change to a conflicting one, and repeats the result for a resend", () => {
        const first = applyConfigurationChange(emptyConfiguration, addClass("a", 0, 400));
        const second = applyConfigurationChange(first.state, addClass("b", 0, 500));
        const resent = applyConfigurationChange(second.state, addClass("a", 0, 400));
        expect([first.result, second.result, resent.result]).toMatchSnapshot();
    });

    it("reports a drain of an unknown data centre and changes nothing", () => {
        const change = { ...addClass("c", 0, 1), edits: [{ kind: "set-drained" as const, dataCentre: "moka", drained: true }] };
        const { state, result } = applyConfigurationChange(emptyConfiguration, change);
        expect(state).to.equal(emptyConfiguration);
        expect(result).toMatchSnapshot();
    });

    // Guards against an answer of megabytes to a change with the same mistake in each of its edits.
    it("reports only the first findings", () => {
        const edits = Array.from({ length: 1_000 }, () => ({ kind: "set-drained" as const, dataCentre: "moka", drained: true }));
        const { result } = applyConfigurationChange(emptyConfiguration, { ...addClass("c", 0, 1), edits });
        expect(result.outcome === "invalid" && result.findings.length).to.equal(50);
    });

    it("reports the indexes of both items with the same name", () => {
        const change = addClass("d", 0, 1);
        const [edit] = change.edits;
        const classes = edit?.kind === "replace" ? edit.configuration.classes : [];
        const configuration = { ...emptyConfiguration.value, classes: [...classes, ...classes], services: [service] };
        const duplicated = { ...change, edits: [{ kind: "replace" as const, configuration }] };
        const { state, result } = applyConfigurationChange(emptyConfiguration, duplicated);
        expect(state).to.equal(emptyConfiguration);
        expect(result).to.deep.equal({ outcome: "invalid", version: 0, findings: ["classes[1].name: \"counter\" stands at classes[0] already"] });
    });

    describe("with data centres", () => {
        const dataCentres = ["moka", "ebene"].map(name => ({ name, region: "r", drained: false }));
        const replaced = { ...emptyConfiguration.value, dataCentres };
        const initial = applyConfigurationChange(
            emptyConfiguration, { ...addClass("a", 0, 1), edits: [{ kind: "replace", configuration: replaced }] }).state;
        const drain = (changeId: string, dataCentre: string, drained: boolean, basedOnVersion: number): ChangeConfiguration => ({
            kind: "change-configuration", changeId, basedOnVersion, author: "a", atMs: 1, edits: [{ kind: "set-drained", dataCentre, drained }],
        });
        const drained = applyConfigurationChange(initial, drain("b", "moka", true, 1)).state;

        // Guards against an old restore that undoes a newer drain: its operator gave up on it, and it was read or handed on late.
        it("changes nothing if a later change than the one on which it is based has changed the same item", () => {
            const { state, result } = applyConfigurationChange(drained, drain("c", "moka", false, 1));
            expect(state).to.equal(drained);
            expect(result).to.deep.equal({ outcome: "superseded", version: 2 });
        });

        it("applies a change whose items no later change has changed, and answers a resend of an accepted one", () => {
            expect(applyConfigurationChange(drained, drain("c", "ebene", true, 1)).result).to.deep.include({ outcome: "accepted", version: 3 });
            expect(applyConfigurationChange(drained, drain("c", "moka", false, 2)).result).to.deep.include({ outcome: "accepted", version: 3 });
            expect(applyConfigurationChange(drained, drain("b", "moka", true, 1)).result).to.deep.include({ outcome: "accepted", repeated: true });
        });

        it("is superseded by a replacement of the whole configuration", () => {
            const whole = applyConfigurationChange(drained, { ...addClass("d", 2, 1), edits: [{ kind: "replace", configuration: replaced }] }).state;
            expect(applyConfigurationChange(whole, drain("e", "ebene", true, 2)).result).to.deep.equal({ outcome: "superseded", version: 3 });
        });
    });

    // After more than two days of changes, a resend of a change that is still in the history gets its original result, a different change
    // with the same id gets a conflict, and only the newest changes keep their edits, which bounds the state.
    it("answers resends from a bounded history", () => {
        let state = emptyConfiguration;
        const total = maxHistoryLength + 50;
        for (let version = 0; version < total; version++) {
            state = applyConfigurationChange(state, addClass(`c${version}`, version, 1 + version % 9)).state;
        }
        const withEdits = state.history.filter(change => change.edits.length > 0);
        expect([state.history.length, withEdits.length]).to.deep.equal([maxHistoryLength, maxChangesWithEdits]);
        const remembered = applyConfigurationChange(state, addClass("c60", 60, 1 + 60 % 9)).result;
        expect(remembered).to.deep.equal({ outcome: "accepted", version: 61, repeated: true });
        const other = applyConfigurationChange(state, addClass("c60", 60, 77)).result;
        expect(other.outcome === "conflict" && other.winner?.version).to.equal(61);
        const conflicting = applyConfigurationChange(state, addClass("late", 100, 1)).result;
        expect(conflicting.outcome === "conflict" && conflicting.winner?.changeId).to.equal("c100");
        expect(applyConfigurationChange(state, addClass("c10", 10, 1)).result.outcome).to.equal("conflict");
    });
});
