import { expect } from "chai";
import { headerNames } from "../../platform/headers.js";
import { readSignals } from "../../src/gateway/signals.js";

const date = ["Date", "Thu, 03 Dec 2026 10:00:00 GMT"];

describe("signals of an upstream's answer", () => {
    it("are read from the headers of any answer", () => {
        const read = (status: number, ...headers: string[]) => readSignals(status, headers, headerNames);
        expect({
            none: read(200),
            load: read(200, "Zinnialanding-Instance-Load", "3,1,8"),
            cold: read(200, "Zinnialanding-Cold-Remaining-Ms", "1500"),
            limit: read(200, "Server-Limit", "2.5"),
            pushback: read(503, "Retry-After", "3"),
            fractionalPushback: read(429, "retry-after", "0.25"),
            leaving: read(503, "Server-Leaving", "1"),
            notLeaving: read(200, "Server-Leaving", "0"),
            pushbackUntilDate: read(503, ...date, "Retry-After", "Thu, 03 Dec 2026 10:00:04 GMT"),
        }).toMatchSnapshot();
    });

    it("are ignored where they can't be read or mean something else", () => {
        const pushbacks = [
            readSignals(200, ["Retry-After", "3"], headerNames), readSignals(503, ["Retry-After", ""], headerNames),
            readSignals(503, ["Retry-After", "-1"], headerNames), readSignals(503, ["Retry-After", "soon"], headerNames),
            readSignals(503, ["Retry-After", "Infinity"], headerNames),
            readSignals(503, ["Retry-After", "Thu, 03 Dec 2026 10:00:04 GMT"], headerNames),
            readSignals(503, [...date, "Retry-After", "Thu, 03 Dec 2026 09:00:00 GMT"], headerNames),
        ];
        expect(pushbacks.map(({ pushbackMs }) => pushbackMs)).to.deep.equal(pushbacks.map(() => undefined));
        const broken = readSignals(200, ["Zinnialanding-Instance-Load", "many", "Server-Limit", "none"], headerNames);
        expect([broken.load, broken.limitPerSecond]).to.deep.equal([undefined, undefined]);
    });

    // Guards against an upstream that one odd answer takes out for days, and against numbers that JSON or timers can't hold.
    it("are bounded", () => {
        for (const amount of ["1e308", "9007199254740993", "1e12"]) {
            const headers = [
                "Retry-After", amount, "Zinnialanding-Instance-Load", `${amount},${amount}`, "Server-Limit", amount,
                "Zinnialanding-Cold-Remaining-Ms", amount,
            ];
            expect(readSignals(503, headers, headerNames)).to.deep.equal({
                load: { running: 1_000_000, waiting: 1_000_000 }, limitPerSecond: 1_000_000, pushbackMs: 3_600_000,
                coldForMs: 3_600_000, isLeaving: false,
            });
        }
        const farDate = readSignals(503, [...date, "Retry-After", "Thu, 03 Dec 9999 10:00:04 GMT"], headerNames);
        expect(farDate.pushbackMs).to.equal(3_600_000);
    });
});
