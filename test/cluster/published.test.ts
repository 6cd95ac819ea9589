import { expect } from "chai";
import { applyPublishedCommand, emptyPublished, type Evacuate, type PublishedState } from "../../src/cluster/index.js";

const order = (isOut: boolean, basedOnRevision?: number): Evacuate =>
    ({ kind: "evacuate", dataCentre: "a", isOut, ...basedOnRevision === undefined ? {} : { basedOnRevision } });

function applyAll(commands: readonly Evacuate[], from: PublishedState = emptyPublished) {
    let state = from;
    const results = commands.map(command => {
        const applied = applyPublishedCommand(state, command);
        ({ state } = applied);
        return applied.result;
    });
    return { state, results };
}

describe("starts and ends of evacuations", () => {
    // Guards against an old end that undoes a newer start.
    it("change nothing if another one was applied since the revision on which they are based", () => {
        const { state, results } = applyAll([order(true, 0), order(false, 1), order(true, 2), order(false, 1)]);
        expect(state.evacuated).to.deep.equal(["a"]);
        expect(results.at(-1)).to.deep.equal({ outcome: "superseded", revision: 3 });
    });

    // Guards against an old end that undoes a newer start which found the data centre still evacuated.
    it("count even if they change nothing", () => {
        const { state, results } = applyAll([order(true, 0), order(true, 1), order(false, 1)]);
        expect(state.evacuated).to.deep.equal(["a"]);
        expect(results.map(({ outcome }) => outcome)).to.deep.equal(["evacuation-applied", "evacuation-applied", "superseded"]);
    });

    it("of a log or a snapshot of daemons that did not count them are applied", () => {
        const { state } = applyAll([order(true), order(false), order(true)], { site: undefined, evacuated: ["b"] });
        expect(state).to.deep.equal({ site: undefined, evacuated: ["a", "b"], evacuationRevision: 3 });
    });
});
