/**
 * Joins the roles of a daemon that serves a published site, and ends them gracefully.
 *
 * @module
 */

import { createServer } from "node:http";
import { asFunction, asValue, createContainer, InjectionMode } from "awilix";
import type { SiteSettings } from "./config/index.js";
import { type ConsensusNode, createReplicatedLog, type SettingsPeer } from "./consensus/index.js";
import { createGateway, type Gateway, type HeaderNames } from "./gateway/index.js";
import { createPeerConnections, createRpcServer, type RpcServer, splitAddress } from "./rpc/index.js";
import type { SiteDialect } from "./site/index.js";
import { createReferral, createSiteControl, type Engines, type Referral, type SiteControl } from "./siteControl/index.js";
import { type BoundedOutput, createBoundedOutput, createLogger, createSiteMetrics, type Logger, type SiteMetrics } from "./telemetry/index.js";

/** What a platform's adapter gives: translations and calls. */
export interface Platform {
    readonly dialect: SiteDialect;
    readonly names: HeaderNames;
    createEngines(): Engines;
    /** Serves upstreams' and operators' calls; resolves to the way to stop. */
    serveControl(address: string, control: SiteControl, logger: Logger): Promise<() => Promise<void>>;
    /** Refers upstreams' and operators' calls to other daemons at the same port; resolves to the way to stop. */
    serveReferrals(address: string, referral: Referral): Promise<() => Promise<void>>;
    /** Answers the balancer's questions; resolves to the way to stop. */
    serveReady(address: string, isReady: () => boolean): Promise<() => Promise<void>>;
}

export interface SiteDaemon {
    /** Takes what may change while the daemon runs. */
    reload(settings: SiteSettings): void;
    stop(): Promise<void>;
}

/** A snapshot for each this many changes: a site's text may be large, and the log keeps every version since the last snapshot. */
const snapshotEntries = 32;
const trailingEntries = 16;
/** What a stop leaves of its time for the last writes. */
const stopMarginMs = 700;

/** How long the last frames of the feed may take. */
const lastFramesMs = 300;
/** How long the last log lines may take. */
const lastLinesMs = 200;

interface Parts {
    settings: SiteSettings;
    output: BoundedOutput;
    logger: Logger;
    metrics: SiteMetrics;
    gateway: Promise<Gateway>;
    log: Promise<ConsensusNode>;
}

/** Starts the roles that the settings name. */
export async function createSiteDaemon(settings: SiteSettings, platform: Platform): Promise<SiteDaemon> {
    const { daemon, listen, control: controlSettings } = settings;
    const container = createContainer<Parts>({ injectionMode: InjectionMode.PROXY, strict: true });
    container.register({
        settings: asValue(settings),
        output: asFunction(() => createBoundedOutput(1, count =>
            `${JSON.stringify({ daemonId: daemon.id, level: "warn", message: "log lines left out", count })}\n`)).singleton(),
        logger: asFunction(({ output }: Parts) => createLogger(daemon.logLevel, daemon.id, output.stream)).singleton(),
        metrics: asFunction(({ output }: Parts) => {
            const metrics = createSiteMetrics();
            metrics.observe("zinnialanding_log_lines_left_out", () => output.leftOut);
            return metrics;
        }).singleton(),
        gateway: asFunction(({ logger, metrics }: Parts) => createGateway({
            daemonId: daemon.id, dataCentre: daemon.dataCentre, callers: listen.callers!, controls: peerAddresses(settings),
            dialect: platform.dialect, names: platform.names, repeats: settings.repeats, logger, metrics,
        })).singleton(),
        log: asFunction(({ logger }: Parts) => createReplicatedLog({
            voterId: hostOf(listen.rpc!), address: listen.rpc!, dataFolder: daemon.dataFolder,
            peers: logPeers(settings),
            mayForm: controlSettings.firstStart, isOpen: true,
            limits: { snapshotEntries, trailingEntries },
            logger: line => logger.info(line),
        })).singleton(),
    });
    const { logger, metrics, output } = container.cradle;
    const stops: (() => Promise<void>)[] = [];
    const isEntry = daemon.roles.includes("entry");
    logger.info("starting", { roles: daemon.roles, dataCentre: daemon.dataCentre });

    const controlLog = daemon.roles.includes("control") ? await container.cradle.log : undefined;
    if (controlLog !== undefined) {
        stops.push(daemon.dataFolder === undefined ? await startReferral() : await startControl());
    }
    const gateway = isEntry ? await container.cradle.gateway : undefined;
    if (gateway !== undefined) {
        const stopReady = await platform.serveReady(listen.ready!, () => gateway.isReady);
        stops.push(async () => {
            await gateway.stop(daemon.stopS * 1_000 - stopMarginMs);
            await stopReady();
        });
    }
    if (listen.metrics !== undefined) {
        stops.push(await serveText(listen.metrics, () => metrics.text(), metrics.contentType));
    }
    logger.info("started", { tookMs: Math.round(performance.now()) });

    async function startControl(): Promise<() => Promise<void>> {
        const log = await container.cradle.log;
        const connections = createPeerConnections();
        const control = createSiteControl({
            daemonId: daemon.id, dataCentre: daemon.dataCentre, address: listen.rpc!, log, dialect: platform.dialect,
            engines: platform.createEngines(), connections, logger, metrics,
            isFirstStart: controlSettings.firstStart,
        });
        const rpc: RpcServer = await createRpcServer(listen.rpc!, router => {
            log.routes(router);
            control.feed.routes(router);
        });
        control.start();
        const stopApi = await platform.serveControl(listen.control!, control, logger);
        return async () => {
            // Before the log: the changes that it is accepting are answered. Before the feed: what was acknowledged is told to the entries.
            await stopApi();
            await log.stop();
            control.stop();
            await Promise.race([rpc.stop(), new Promise(resolve => setTimeout(resolve, lastFramesMs))]);
            connections.closeAll();
            void rpc.stop(true);
        };
    }

    async function startReferral(): Promise<() => Promise<void>> {
        const log = await container.cradle.log;
        const referral = createReferral(log, daemon.dataCentre);
        const rpc = await createRpcServer(listen.rpc!, router => {
            log.routes(router);
            referral.feed.routes(router);
        });
        referral.start();
        const stopApi = await platform.serveReferrals(listen.control!, referral);
        return async () => {
            await log.stop();
            referral.stop();
            await stopApi();
            await rpc.stop(true);
        };
    }

    return {
        reload(next) {
            logger.info("settings read again", { seeds: next.control.seeds });
            gateway?.useControls(peerAddresses(next));
            controlLog?.useSeeds(logPeers(next));
        },
        async stop() {
            logger.info("stopping on request");
            await Promise.all(stops.map(stop => stop()));
            logger.info("stopped");
            await output.flush(lastLinesMs);
        },
    };
}

function hostOf(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
}

/** Where the control daemons that the settings name are reached by other daemons. */
function peerAddresses(settings: SiteSettings): string[] {
    return settings.control.seeds.map(address => `${hostOf(address)}:${settings.control.rpcPort}`);
}

/** The control daemons that the settings name, as the log knows them. */
function logPeers(settings: SiteSettings): SettingsPeer[] {
    return peerAddresses(settings).map(address => ({ id: hostOf(address), address }));
}

/** Serves one text at every path. */
async function serveText(address: string, text: () => Promise<string>, contentType: string): Promise<() => Promise<void>> {
    const server = createServer((_request, response) => {
        text().then(
            body => response.writeHead(200, { "content-type": contentType }).end(body),
            (error: Error) => response.writeHead(500).end(error.message),
        );
    });
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => server.once("error", reject).listen(port, host, resolve));
    return () => new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
