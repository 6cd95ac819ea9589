import { expect } from "chai";
import { checkSettings, formatFinding, loadSettings } from "../../src/config/index.js";

const hash = "0123456789abcdef".repeat(4);

const completeLines = [
    "; A VM that takes callers and votes.",
    "[daemon]",
    "id = entry-1",
    "region = scl",
    "data_centre = scl-a",
    "roles = entry, control",
    "data_folder = /var/lib/zinnialanding",
    "[rpc]",
    "listen = 127.0.0.1:7400",
    "[callers]",
    "listen = 127.0.0.1:7401",
    "[operators]",
    "listen = 127.0.0.1:7402",
    `token_hashes = ${hash}, ${hash}`,
    "[control]",
    "voters = entry-1@127.0.0.1:7400, entry-2@127.0.0.1:7500",
];

function replaceLines(changes: Readonly<Record<number, string>>): string {
    return completeLines.map((line, index) => changes[index + 1] ?? line).join("\n");
}

function findingsIn(text: string): string[] {
    const loaded = checkSettings("a.ini", text);
    return "findings" in loaded ? loaded.findings.map(formatFinding) : [];
}

describe("settings file", () => {
    it("returns typed settings with defaults", () => {
        expect(checkSettings("a.ini", completeLines.join("\n"))).toMatchSnapshot();
    });

    // Guards against settings that pass the check and of which a connection or a timer can't be made.
    it("reports addresses and times that can't be used", () => {
        const addresses = ["a^b:1", "10.0.0.4:65536", "10.0.0.400:1", "10.0.0.4:1/x", "10.0.0.4"];
        const findings = addresses.map(address => findingsIn(replaceLines({ 9: `listen = ${address}` })));
        expect(findings).to.deep.equal(addresses.map(address => [`a.ini:9: [rpc] listen: expected host:port; found "${address}"`]));
        expect(findingsIn(replaceLines({ 7: "data_folder = /var\nbalancer_wait_ms = 1000000000000" }))).to.have.length(1);
    });

    it("reports four mistakes together, each with its location", () => {
        const text = replaceLines({ 4: "region =", 6: "roles = entry, contrl", 9: "listen = 7400", 11: "listen = 127.0.0.1:7401\nmax_queued = many" });
        expect(findingsIn(text)).toMatchSnapshot();
    });

    it("reports unknown and repeated keys and sections, and stray lines", () => {
        const text = ["stray = 1", ...completeLines, "voters = x@127.0.0.1:1", "dataCentre = b", "[rpc]", "[proxy.v2]", "nonsense", "__proto__ = 1"];
        expect(findingsIn(text.join("\n"))).toMatchSnapshot();
    });

    it("reports sections and keys that a role requires", () => {
        expect(findingsIn("[daemon]\nid = a\nregion = r\ndata_centre = d\nroles = entry,control,sidecar\n[rpc]\nlisten=127.0.0.1:1")).toMatchSnapshot();
    });

    // A listener beyond loopback without TLS would transmit callers' keys in plain text, so it needs an explicit opt-in.
    it("accepts a plaintext listener beyond loopback only with an explicit opt-in", () => {
        const beyond = { 9: "listen = 10.0.0.1:7400", 11: "listen = 0.0.0.0:7401" };
        expect(findingsIn(replaceLines(beyond))).toMatchSnapshot();
        expect(findingsIn(replaceLines({ ...beyond, 3: "id = entry-1\nallow_plaintext = true" }))).to.deep.equal([]);
        expect(findingsIn(`${replaceLines(beyond)}\n[tls]\ncertificate_file = a\nkey_file = b\nauthority_file = c`)).to.deep.equal([]);
    });

    // An operator may paste the token itself instead of its hash, and findings end up in a log that others read.
    it("does not show a token that was given instead of its hash", () => {
        const findings = findingsIn(replaceLines({ 14: "token_hashes = zt_secret" }));
        expect(findings).to.have.length(1);
        expect(findings.join()).not.to.contain("zt_secret");
    });

    it("reports an unreadable file as a finding", () => {
        expect(loadSettings("/nonexistent/a.ini")).toMatchSnapshot();
    });
});
