import { expect } from "chai";
import { chooseDaemonToFollow, type FollowCandidate, type FollowedDaemon, newestSiteVersion } from "../../src/feed/follow.js";
import type { AliveFrame } from "../../src/feed/frames.js";

const nowMs = 100_000;

function candidate(
    address: string, dataCentre: string, frame: Partial<AliveFrame> = {}, overrides: Partial<FollowCandidate> = {},
): FollowCandidate {
    return {
        address, heardSinceMs: 0, failedAtMs: Number.NEGATIVE_INFINITY,
        alive: { kind: "alive", leads: false, dataCentre, hasContent: true, isInTouch: true, siteVersion: 7, ...frame }, ...overrides,
    };
}

function following(address: string, overrides: Partial<FollowedDaemon> = {}): FollowedDaemon {
    return { address, siteVersion: 7, behindSinceMs: undefined, ...overrides };
}

function choose(candidates: readonly FollowCandidate[], current?: FollowedDaemon, random = 0): string | undefined {
    return chooseDaemonToFollow(candidates, current, { dataCentre: "a", nowMs, random: () => random });
}

describe("selection of the control daemon that an entry follows", () => {
    const local = candidate("local", "a");
    const remote = candidate("remote", "b");

    it("prefers a daemon of the entry's own data centre", () => {
        expect(choose([remote, local])).to.equal("local");
    });

    it("selects a daemon of another data centre if none of its own is heard within the waiting time", () => {
        expect(choose([candidate("remote", "b", {}, { heardSinceMs: nowMs - 100 })])).to.equal(undefined);
        expect(choose([candidate("remote", "b", {}, { heardSinceMs: nowMs - 200 })])).to.equal("remote");
    });

    // Guards against following a daemon without a disk, which would leave the entry without site and upstreams.
    it("selects no daemon without content", () => {
        expect(choose([candidate("local", "a", { hasContent: false, isInTouch: false })])).to.equal(undefined);
    });

    it("selects a daemon out of touch with a leader only if there is no other", () => {
        const cutOff = candidate("local", "a", { isInTouch: false });
        expect(choose([cutOff, remote], following("local"))).to.equal("remote");
        expect(choose([cutOff], following("local"))).to.equal("local");
    });

    it("switches when the followed daemon does not send a site that another reports", () => {
        const ahead = candidate("remote", "b", { siteVersion: 8 });
        expect(choose([local, ahead], following("local", { behindSinceMs: nowMs - 900 }))).to.equal("local");
        expect(choose([local, ahead], following("local", { behindSinceMs: nowMs - 1_100 }))).to.equal("remote");
    });

    // Guards against switching because of a version reported by a voter without quorum, which may not be in force.
    it("ignores the site version of a daemon out of touch with a leader", () => {
        expect(newestSiteVersion([local, candidate("remote", "b", { siteVersion: 9, isInTouch: false })])).to.equal(7);
    });

    it("returns to a daemon of its own data centre once that has been heard for the return delay", () => {
        expect(choose([candidate("local", "a", {}, { heardSinceMs: nowMs - 1_000 }), remote], following("remote"))).to.equal("remote");
        expect(choose([candidate("local", "a", {}, { heardSinceMs: nowMs - 5_000 }), remote], following("remote"))).to.equal("local");
    });

    it("avoids a daemon whose content stream failed recently", () => {
        expect(choose([candidate("local", "a", {}, { failedAtMs: nowMs - 500 }), remote])).to.equal("remote");
    });

    // Guards against all entries of a data centre reconnecting to the same daemon at once.
    it("spreads entries over the remaining daemons when theirs is lost", () => {
        const others = ["b", "c", "d", "e"].map(dataCentre => candidate(dataCentre, dataCentre));
        const spread = new Set([0.1, 0.3, 0.6, 0.9].map(random => choose(others, following("local"), random)));
        expect([...spread].sort()).to.deep.equal(["b", "c", "d", "e"]);
    });
});
