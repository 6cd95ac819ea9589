import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect as connectPlain } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { connect } from "node:tls";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { expect } from "chai";
import { Agent, request } from "undici";
import { freePorts } from "../../bench/processes.js";
import StatusCommand from "../../src/cli/commands/status.js";
import { createDaemon, type Daemon } from "../../src/compose.js";
import { CertificateError, createCertificateStore, type Settings, settingsSchema } from "../../src/config/index.js";
import { ControlService, createPeerConnection, type PeerCertificates } from "../../src/rpc/index.js";
import { hashKey } from "../../src/cli/keys.js";
import { runCommand } from "../cli/run.js";
import { type Authority, canMakeCertificates, makeAuthority, makeCertificate, readSet } from "./certificates.js";

const token = "zt_operatortoken";

/** Changes something at the daemon over a connection of its own; resolves with what went wrong, if anything. */
async function ask(address: string, certificates?: PeerCertificates): Promise<string | undefined> {
    const connection = createPeerConnection(address, certificates);
    try {
        const client = createClient(ControlService, connection.transport);
        const command = new TextEncoder().encode(JSON.stringify({
            kind: "change-configuration", changeId: randomUUID(), author: "peer", atMs: 0, edits: [{ kind: "remove-class", name: "none" }],
        }));
        await client.propose({ command, timeoutMs: 100 }, { timeoutMs: 5_000 });
        return undefined;
    }
    catch (error) {
        return Code[ConnectError.from(error).code];
    }
    finally {
        connection.close();
    }
}

/** The common name of the certificate that a listener shows to a new connection. */
function shownName(address: string, client: { ca: string; cert?: string; key?: string }): Promise<string> {
    return new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const socket = connect({ host: host!, port: Number(port), ...client }, () => {
            resolve(socket.getPeerCertificate().subject.CN as string);
            socket.destroy();
        });
        socket.on("error", reject);
    });
}

describe("TLS", () => {
    let folder: string;
    let authority: Authority;
    let files: ReturnType<typeof makeCertificate>;

    before(() => {
        if (!canMakeCertificates()) {
            throw new Error("the tests of TLS make their certificates with openssl, which is not on this machine's PATH");
        }
        folder = mkdtempSync(join(tmpdir(), "tls-"));
        authority = makeAuthority(folder, "authority");
        files = makeCertificate(folder, "entry-1", authority);
    });

    after(() => {
        if (folder !== undefined) {
            rmSync(folder, { recursive: true });
        }
    });

    // A renewal that went wrong must not close the listeners: the set in use stays.
    it("keeps the set in use when the files can't be used", () => {
        const broken = { ...files, certificateFile: join(folder, "broken.crt") };
        copyFileSync(files.certificateFile, broken.certificateFile);
        const store = createCertificateStore(broken);
        const used = store.current;
        writeFileSync(broken.certificateFile, "-----BEGIN CERTIFICATE-----\nhalf");
        expect(() => store.reload()).to.throw(CertificateError, broken.certificateFile);
        copyFileSync(makeCertificate(folder, "other", authority).certificateFile, broken.certificateFile);
        expect(() => store.reload(), "a key of another certificate").to.throw(CertificateError);
        expect(store.current).to.equal(used);
    });

    describe("of a daemon", () => {
        let daemon: Daemon;

        beforeEach(async () => {
            const rpc = `127.0.0.1:${(await freePorts(1))[0]}`;
            const settings: Settings = settingsSchema.parse({
                daemon: { id: "entry-1", region: "scl", dataCentre: "scl-a", roles: ["entry", "control"], dataFolder: folder, balancerWaitMs: 0 },
                rpc: { listen: rpc },
                callers: { listen: "127.0.0.1:0" },
                operators: { listen: "127.0.0.1:0", tokenHashes: [hashKey(token)] },
                control: { voters: [{ id: "entry-1", address: rpc }] },
                telemetry: { logLevel: "error" },
                tls: files,
            });
            daemon = await createDaemon(settings);
        });

        afterEach(() => daemon.stop());

        // A process that holds no certificate of the site's authority could otherwise order VMs about or propose configurations.
        it("hears only peers with a certificate of the same authority", async () => {
            const stranger = makeCertificate(folder, "stranger", makeAuthority(folder, "other-authority"));
            const own = await ask(daemon.rpcAddress, readSet(files));
            const without = await ask(daemon.rpcAddress, { ca: readFileSync(authority.certificateFile, "utf8") } as PeerCertificates);
            const other = await ask(daemon.rpcAddress, { ...readSet(stranger), ca: readFileSync(authority.certificateFile, "utf8") });
            const plain = await ask(daemon.rpcAddress);
            expect(own).to.equal(undefined);
            // How a refused connection shows at the peer depends on which end closes first.
            expect([without, other, plain].filter(code => code !== undefined)).to.have.length(3);
        });

        // The entry's session with control runs over the daemons' listener; without it no lease, and no work.
        it("keeps its own sessions over mutual TLS", async () => {
            const ca = readFileSync(authority.certificateFile, "utf8");
            const dispatcher = new Agent({ connect: { ca } });
            let status = 0;
            for (let tries = 0; tries < 100 && status !== 200; tries++) {
                await sleep(50);
                status = (await request(`https://${daemon.callersAddress}/readyz`, { dispatcher })).statusCode;
            }
            await dispatcher.destroy();
            expect(status).to.equal(200);
        });

        it("speaks TLS to callers and operators", async () => {
            const shown = [daemon.callersAddress!, daemon.operatorsAddress!]
                .map(address => shownName(address, { ca: readFileSync(authority.certificateFile, "utf8") }));
            expect(await Promise.all(shown)).to.deep.equal(["entry-1", "entry-1"]);
            const plain = await request(`http://${daemon.callersAddress}/healthz`).then(() => "answered", () => "refused");
            expect(plain).to.equal("refused");
            const run = await runCommand(StatusCommand, ["--json"], {
                ZINNIA_OPERATORS: daemon.operatorsAddress!, ZINNIA_TOKEN: token, ZINNIA_TLS_AUTHORITY: authority.certificateFile,
            });
            expect(run.result).to.include({ daemonId: "entry-1" });
        });

        it("shows renewed certificates to new connections on every listener", async () => {
            const renewed = makeCertificate(folder, "entry-1-renewed", authority);
            copyFileSync(renewed.certificateFile, files.certificateFile);
            copyFileSync(renewed.keyFile, files.keyFile);
            daemon.reload();
            const listeners = [daemon.callersAddress!, daemon.operatorsAddress!, daemon.rpcAddress];
            const names = await Promise.all(listeners.map(address => shownName(address, readSet(renewed))));
            expect(new Set(names)).to.deep.equal(new Set(["entry-1-renewed"]));
            expect(await ask(daemon.rpcAddress, readSet(renewed))).to.equal(undefined);
        });

        // Bytes of the handshake come before any request: an unused connection, or a handshake that never ends, held the stop up.
        it("stops though connections are open that have carried nothing, one request, or half a handshake", async () => {
            const ca = readFileSync(authority.certificateFile, "utf8");
            const [host, port] = daemon.callersAddress!.split(":") as [string, string];
            const half = connectPlain(Number(port), host);
            const [unused, kept] = [connect({ host, port: Number(port), ca }), connect({ host, port: Number(port), ca })];
            await Promise.all([unused, kept].map(socket => once(socket, "secureConnect")));
            kept.write("GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n");
            await once(kept, "data");
            const ended = [unused, kept].map(socket => once(socket.resume(), "end"));
            await daemon.stop();
            await Promise.all(ended);
            [half, unused, kept].forEach(socket => socket.destroy());
        });
    });
});
