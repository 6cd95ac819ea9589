import { expect } from "chai";
import { createSettingsFile } from "../../src/config/index.js";

interface TestSettings {
    readonly seeds: string;
}

describe("a settings file that is followed", () => {
    // Guards against a process that ends, or drops its settings, because the file is missing or half written for a moment.
    it("keeps the settings while the file can't be used, says so once, and reads it once it is back", () => {
        const log: string[] = [];
        const findings = [{ file: "site.ini", line: 1, expected: "a readable file", found: "ENOENT" }];
        const states: readonly ({ readonly settings: TestSettings } | { readonly findings: typeof findings })[] = [
            { settings: { seeds: "a" } }, { findings }, { findings }, { settings: { seeds: "a" } }, { findings },
            { findings: [{ ...findings[0]!, found: "nothing" }] }, { settings: { seeds: "b" } }, { settings: { seeds: "b" } },
        ];
        let position = 0;
        const file = createSettingsFile<TestSettings>({
            load: () => states[position]!,
            settings: { seeds: "a" },
            onChanged: ({ seeds }) => log.push(`${position}: seeds ${seeds}`),
            onFindings: lines => log.push(`${position}: ${lines.length === 0 ? "usable" : lines.join()}`),
        });
        for (; position < states.length; position++) {
            file.check();
        }
        const line = "site.ini:1: expected a readable file; found";
        expect(log).to.deep.equal([`1: ${line} ENOENT`, "3: usable", `4: ${line} ENOENT`, `5: ${line} nothing`, "6: usable", "6: seeds b"]);
    });
});
