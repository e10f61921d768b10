import { Err, Ok, Messaging, type Doc, type Ident, type Result, type World } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore, type GossipSettings } from '@pumicebarrow/purge';
import { Core } from './core.js';
import { ControlClient } from './chain/controlclient.js';
import { MemberIdentity } from './membership/memberidentity.js';
import { RecordCheck } from './state/recordcheck.js';
import { CoreStore } from './state/corestore.js';
import { TraceService } from './service/traceservice.js';
import { Views } from './consensus/views.js';

/** Initial addresses; a function is called again whenever they are needed, for addresses that change at run time. */
type Seeds = readonly string[] | (() => readonly string[]);
type Settings = { id: string; addr: string; site: string; seeds: Seeds; tunes: GossipSettings } & {
  /** Number of machines that may be lost at the same time: the first view has twice as many members plus one. */
  losses?: number;
  /** Numbers of zones and of regions that may be lost at the same time; none if absent. */
  zoneLosses?: number;
  regionLosses?: number;
  /** The region of each zone; a zone that is absent is a region of its own. */
  regions?: Readonly<Record<string, string>>;
  /** Whether this daemon, with an empty data folder, may help to form the first view; otherwise it only joins one. */
  first?: boolean;
  /** Accepts the shared documents that this daemon stores, where that is more than the registry's own. */
  sound?: (doc: Doc) => boolean;
  /** Peers known by other means than check-ins with the head. */
  known?: () => readonly Ident[];
};

/** A control replica assembled from its parts: disk, core, gossip and messaging. */
export const RegistryNode = {
  async make(world: World, settings: Settings) {
    if (!world.disk) return Err('a control replica requires a data folder') as Result<never, string>;
    const store = CoreStore.make(world, world.disk);
    const log = world.log('core');
    const restored = await store.load();
    if (restored.err) return Err(restored.val) as Result<never, string>;
    if (restored.val.bad)
      log.warn('Found a damaged or missing data file; set all data files aside. Rejoining as a newcomer.');
    const incarnation = await MemberIdentity.loadOrCreate(world, store, restored.val.born);
    if (incarnation.err) return Err(incarnation.val) as Result<never, string>;
    const { seq, charter } = restored.val.state;
    const diskSummary =
      restored.val.born === null
        ? 'with an empty disk'
        : `holding state ${seq}, configuration ${charter?.version ?? 0}`;
    log.info(`Started as ${settings.id}/${incarnation.val} ${diskSummary}, view ${restored.val.view?.epoch ?? 0}.`);
    const ident: Ident = {
      id: settings.id,
      born: incarnation.val,
      addr: settings.addr,
      site: settings.site,
      role: 'registry',
    };
    const post = Messaging.make(world, () => ident);
    const recordStore = InMemoryRecordStore.make(settings.sound ?? RecordCheck.isValid);
    const configuredSeeds = settings.seeds;
    const seeds = (): readonly string[] =>
      typeof configuredSeeds === 'function' ? configuredSeeds() : configuredSeeds;
    const purge = Gossip.make(
      world,
      post,
      () => ident,
      recordStore,
      settings.tunes,
      seeds,
      (): readonly Ident[] => [
        ...Views.gossipPeers(core.view()),
        ...core.service.liveDaemons(),
        ...(settings.known?.() ?? []),
      ],
    );
    const coreAddresses = (): string[] => [
      ...new Set([
        ...seeds(),
        ...purge
          .peers()
          .filter((p) => p.role === 'registry')
          .map((p) => p.addr),
      ]),
    ];
    const core = Core.make(world, post, () => ident, store, restored.val, {
      coreAddresses,
      seeds,
      tolerance: {
        machines: settings.losses ?? 1,
        zones: settings.zoneLosses ?? 0,
        regions: settings.regionLosses ?? 0,
      },
      regionOf: (zone) => settings.regions?.[zone] ?? zone,
      mayFormFirstView: settings.first ?? true,
      onCommitted: (state) => {
        if (!state.charter || state.charter.version <= (recordStore.stamp('charter')?.[0] ?? 0)) return;
        world.recordEvent({ what: 'confirmed', version: state.charter.version, plan: state.charter.plan });
        purge.publish({
          name: 'charter',
          mark: [state.charter.version, 0],
          body: { version: state.charter.version, plan: state.charter.plan, charter: state.charter.body },
        });
      },
    });
    TraceService.make(
      post,
      () => ident,
      purge,
      recordStore,
      () => core.holdsLease() && core.chain.committed() !== null,
    );
    return Ok({
      ident,
      core,
      purge,
      recordStore,
      post,
      /** Reads and writes as any other daemon does; the head or the tail may be this daemon. */
      controlClient: ControlClient.make(world, post, coreAddresses, core.view),
      start(): void {
        core.start();
        purge.start();
      },
      /** Leaves the view, which takes a second at most. `stop` must still be called. */
      leave: (): Promise<void> => core.leave(),
      stop(): void {
        core.stop();
        purge.stop();
        post.close();
      },
    });
  },
};
