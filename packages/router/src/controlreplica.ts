import { Ok } from '@pumicebarrow/forms';
import type { Fault, MetricFamily, Result, Routing, World } from '@pumicebarrow/forms';
import { CoreMetrics, Registrar, Views } from '@pumicebarrow/registry';
import { ConfigurationApi } from './configurationcalls.js';
import { IntentDesk } from './intentdesk.js';
import { ReplicaHandler } from './replicahandler.js';
import type { Engine } from './engine.js';
import { LoadTable } from './loadtable.js';
import { ServerListPublisher } from './listduty.js';
import type { ListSource } from './listsource.js';
import type { RouterOptions } from './routerstartup.js';
import { SharedSound } from './sharedsound.js';
import { StageDuty } from './stageduty.js';
import { StatusDesk } from './statusdesk.js';

/**
 * Options of a control replica only: how many machines may be lost at once, whether it may take part in forming the
 * first view (otherwise it only joins an existing one), and the lease duration in ms.
 */
type CoreOptions = { losses: number; first: boolean; lease: number } & {
  /** Parses an operator's configuration text; without it this replica rejects configuration plans. */
  read?: (text: string) => Result<Routing, Fault[]>;
};

/**
 * Assembles a control replica: the replicated registry, the duties of the acting head (publishing the server list,
 * balancing stages, answering router check-ins) and the handlers for operators.
 */
export const ControlReplica = {
  async make(
    world: World,
    options: Omit<RouterOptions, 'revocation'> & CoreOptions,
    listSource: ListSource,
    serverClient: Engine,
  ) {
    const created = await Registrar.make(world, {
      ...{ id: options.id, addr: options.addr, site: options.zone, seeds: options.seeds, tunes: options.tunes },
      ...{
        losses: options.losses,
        first: options.first,
        sound: SharedSound.doc,
        known: () => checkinHandler.routers(),
      },
    });
    if (created.err) return created;
    const node = created.val;
    const { clock } = world;
    const currentView = () => node.core.view();
    const isHead = (): boolean => {
      const view = currentView();
      return view !== null && Views.same(Views.head(view), node.ident);
    };
    const isActingHead = (): boolean => isHead() && node.core.live();
    /**
     * Fencing token of the head's duties: the epoch of the agreed view, or null unless this replica is the head and
     * holds its lease. At most one replica has a token at any time, and tokens only increase.
     */
    const fence = (): number | null => (isActingHead() ? (currentView()?.epoch ?? null) : null);
    const listPublisher = ServerListPublisher.make({
      ...{ clock, listSource, purge: node.purge },
      fence,
      intervalMs: Math.max(400, options.drain / 4),
    });
    const version = (): number => node.core.chain.passed()?.charter?.version ?? 0;
    const checkinHandler = ReplicaHandler.make({
      clock,
      post: node.post,
      view: currentView,
      speaks: isActingHead,
      version,
      list: listPublisher.current,
    });
    /** Configured time in ms for which a server of the service is unavailable while it changes its stage. */
    const stageChangeMs = (service: string): number => {
      const configuration = node.core.chain.passed()?.charter?.body;
      if (!configuration || !('services' in configuration)) return 0;
      return configuration.services.find((candidate) => candidate.name === service)?.engine?.change ?? 0;
    };
    const stageBalancer = StageDuty.make({
      ...{
        clock,
        log: world.log('stages'),
        engine: serverClient,
        purge: node.purge,
        shelf: node.shelf,
        fence,
        self: node.ident.id,
      },
      ...{ servers: listPublisher.servers, load: checkinHandler.load, lease: options.lease, away: stageChangeMs },
    });
    const loadAggregator = LoadTable.make(clock, node.post, node.shelf);
    IntentDesk.make(node.post, node.line, options.read ?? null);
    StatusDesk.make({
      ...{ clock, post: node.post, store: node.shelf, self: () => node.ident, view: currentView, isActingHead },
      state: node.core.life,
      isConfirmed: () => node.core.live() && node.core.chain.passed() !== null,
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
        shelf: node.shelf,
        post: node.post,
        line: node.line,
        ident: node.ident,
        desk: checkinHandler,
        duty: listPublisher,
        stages: stageBalancer,
      },
      ...ConfigurationApi.make(node.line),
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
