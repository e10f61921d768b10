import { Ok } from '@pumicebarrow/forms';
import type { Fault, MetricFamily, Result, Routing, World } from '@pumicebarrow/forms';
import { CoreMetrics, RegistryNode, Views } from '@pumicebarrow/registry';
import { ConfigurationApi } from './configurationapi.js';
import { ConfigurationPlanHandler } from './configurationplanhandler.js';
import { CheckinHandler } from './checkinhandler.js';
import type { ModelServerClient } from './modelserverclient.js';
import { LoadAggregator } from './loadaggregator.js';
import { ServerListPublisher } from './serverlistpublisher.js';
import type { ServerListSource } from './serverlistsource.js';
import type { RouterOptions } from './routeroptions.js';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { StageBalancer } from './stagebalancer.js';
import { StatusHandler } from './statushandler.js';

/**
 * Options of a control replica only: how many machines may be lost at once, whether it may take part in forming the
 * first view (otherwise it only joins an existing one), and the lease duration in ms.
 */
type CoreOptions = { losses: number; first: boolean; lease: number } & {
  /** Numbers of zones and of regions that may be lost at once; none if absent. */
  zoneLosses?: number;
  regionLosses?: number;
  /** The region of each zone; a zone that is absent is a region of its own. */
  regions?: Readonly<Record<string, string>>;
  /** Parses an operator's configuration text; without it this replica rejects configuration plans. */
  parseConfiguration?: (text: string) => Result<Routing, Fault[]>;
};

/** Steps of version stamps that one run of a replica may use under one fencing token. */
const STEPS_PER_RUN = 1e9;

/**
 * Assembles a control replica: the replicated registry, the duties of the acting head (publishing the server list,
 * balancing stages, answering router check-ins) and the handlers for operators.
 */
export const ControlReplica = {
  async make(
    world: World,
    options: Omit<RouterOptions, 'revocation'> & CoreOptions,
    listSource: ServerListSource,
    serverClient: ModelServerClient,
  ) {
    const created = await RegistryNode.make(world, {
      ...{ id: options.id, addr: options.addr, site: options.zone, seeds: options.seeds, tunes: options.tunes },
      ...{
        losses: options.losses,
        ...{ zoneLosses: options.zoneLosses ?? 0, regionLosses: options.regionLosses ?? 0 },
        regions: options.regions ?? {},
        first: options.first,
        sound: SharedDocumentCheck.isValid,
        known: () => checkinHandler.routers(),
      },
    });
    if (created.err) return created;
    const node = created.val;
    const { clock } = world;
    const currentView = () => node.core.view();
    const isHead = (): boolean => {
      const view = currentView();
      return view !== null && Views.sameMember(Views.head(view), node.ident);
    };
    const isActingHead = (): boolean => isHead() && node.core.holdsLease();
    /**
     * Fencing token of the head's duties: the epoch of the agreed view, or null unless this replica is the head and
     * holds its lease. At most one replica has a token at any time, and tokens only increase. A head that restarts
     * keeps the token, so each of its runs has steps of its own, and no token before its run number is on disk.
     */
    const fence = (): number | null =>
      isActingHead() && node.core.runNumber() !== null ? (currentView()?.epoch ?? null) : null;
    const firstStep = (): number => ((node.core.runNumber() ?? 1) - 1) * STEPS_PER_RUN;
    const listPublisher = ServerListPublisher.make({
      ...{ clock, listSource, purge: node.purge, store: node.recordStore, log: world.log('list') },
      ...{ fence, firstStep },
      intervalMs: Math.max(400, options.drain / 4),
    });
    const version = (): number => node.core.chain.committed()?.charter?.version ?? 0;
    const checkinHandler = CheckinHandler.make({
      clock,
      post: node.post,
      view: currentView,
      isActingHead,
      configurationVersion: version,
      publishedList: listPublisher.current,
    });
    /** Configured time in ms for which a server of the service is unavailable while it changes its stage. */
    const stageChangeMs = (service: string): number => {
      const configuration = node.core.chain.committed()?.charter?.body;
      if (!configuration || !('services' in configuration)) return 0;
      return configuration.services.find((candidate) => candidate.name === service)?.engine?.change ?? 0;
    };
    const stageBalancer = StageBalancer.make({
      ...{
        clock,
        log: world.log('stages'),
        engine: serverClient,
        gossip: node.purge,
        store: node.recordStore,
        fence,
        firstStep,
        self: node.ident.id,
      },
      ...{ servers: listPublisher.servers, load: checkinHandler.load, lease: options.lease, away: stageChangeMs },
    });
    const loadAggregator = LoadAggregator.make(clock, node.post, node.recordStore);
    ConfigurationPlanHandler.make(node.post, node.controlClient, options.parseConfiguration ?? null);
    StatusHandler.make({
      ...{ clock, post: node.post, store: node.recordStore, self: () => node.ident, view: currentView, isActingHead },
      state: node.core.lifecycleState,
      isConfirmed: () => node.core.holdsLease() && node.core.chain.committed() !== null,
      list: () => {
        const published = listPublisher.current();
        return published ? { age: published.age, isFresh: published.age < options.drain } : null;
      },
      ...{
        msSinceHeadReply: () => null,
        suspected: () => [],
        knownDaemons: () => [...node.purge.peers(), ...checkinHandler.routers()],
      },
    });
    return Ok({
      ...{
        core: node.core,
        purge: node.purge,
        recordStore: node.recordStore,
        post: node.post,
        controlClient: node.controlClient,
        ident: node.ident,
        checkinHandler,
        listPublisher,
        stageBalancer,
      },
      ...ConfigurationApi.make(node.controlClient),
      metrics: (): MetricFamily[] => CoreMetrics.families(node),
      start(): void {
        node.start();
        listPublisher.start();
        stageBalancer.start();
        loadAggregator.start();
      },
      async leave(): Promise<void> {
        listPublisher.stop();
        stageBalancer.stop();
        await node.leave();
      },
      stop(): void {
        listPublisher.stop();
        stageBalancer.stop();
        loadAggregator.stop();
        node.stop();
      },
    });
  },
};
