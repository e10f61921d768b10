import { Err, Ok, Post, type Doc, type Ident, type Result, type World } from '@pumicebarrow/forms';
import { Purge, Shelf, type Tunes } from '@pumicebarrow/purge';
import { Core } from './core.js';
import { ControlClient } from './chain/controlclient.js';
import { Self } from './membership/memberidentity.js';
import { RecordCheck } from './state/recordcheck.js';
import { Store } from './state/store.js';
import { TraceDesk } from './service/tracedesk.js';
import { Views } from './consensus/views.js';

/** Addresses to begin with; those that may change while the daemon lives are asked for. */
type Seeds = readonly string[] | (() => readonly string[]);
type Settings = { id: string; addr: string; site: string; seeds: Seeds; tunes: Tunes } & {
  /** How many machines may be lost at once: the first view has twice as many members and one more. */
  losses?: number;
  /** Whether this daemon, with an empty folder, may have a part in making the first view; else it only joins. */
  first?: boolean;
  /** Which docs this daemon holds, where that is more than the registry's own. */
  sound?: (doc: Doc) => boolean;
  /** Daemons that are known by other means than the core's check-ins. */
  known?: () => readonly Ident[];
};

/** A core daemon put together: disk, core and purge. */
export const Registrar = {
  async make(world: World, settings: Settings) {
    if (!world.disk) return Err('a core daemon needs a data folder') as Result<never, string>;
    const store = Store.make(world, world.disk);
    const log = world.log('core');
    const kept = await store.load();
    if (kept.err) return Err(kept.val) as Result<never, string>;
    if (kept.val.bad) log.warn('A damaged file was found; all were set aside. Rejoining as a newcomer.');
    const born = await Self.born(world, store, kept.val.born);
    if (born.err) return Err(born.val) as Result<never, string>;
    const { seq, charter } = kept.val.state;
    const disk =
      kept.val.born === null ? 'with an empty disk' : `holding ${seq}, configuration ${charter?.version ?? 0}`;
    log.say(`Started as ${settings.id}/${born.val} ${disk}, view ${kept.val.view?.epoch ?? 0}.`);
    const ident: Ident = {
      id: settings.id,
      born: born.val,
      addr: settings.addr,
      site: settings.site,
      role: 'registry',
    };
    const post = Post.make(world, () => ident);
    const shelf = Shelf.make(settings.sound ?? RecordCheck.doc);
    const given = settings.seeds;
    const seeds = (): readonly string[] => (typeof given === 'function' ? given() : given);
    const purge = Purge.make(
      world,
      post,
      () => ident,
      shelf,
      settings.tunes,
      seeds,
      (): readonly Ident[] => [...Views.idents(core.view()), ...core.service.live(), ...(settings.known?.() ?? [])],
    );
    const cores = (): string[] => [
      ...new Set([
        ...seeds(),
        ...purge
          .peers()
          .filter((p) => p.role === 'registry')
          .map((p) => p.addr),
      ]),
    ];
    const core = Core.make(world, post, () => ident, store, kept.val, {
      cores,
      seeds,
      losses: settings.losses ?? 1,
      first: settings.first ?? true,
      passed: (s) => {
        if (!s.charter || s.charter.version <= (shelf.mark('charter')?.[0] ?? 0)) return;
        world.tell({ what: 'confirmed', version: s.charter.version, plan: s.charter.plan });
        purge.publish({
          name: 'charter',
          mark: [s.charter.version, 0],
          body: { version: s.charter.version, plan: s.charter.plan, charter: s.charter.body },
        });
      },
    });
    TraceDesk.make(
      post,
      () => ident,
      purge,
      shelf,
      () => core.live() && core.chain.passed() !== null,
    );
    return Ok({
      ident,
      core,
      purge,
      shelf: shelf,
      post,
      /** Reads and writes as any other daemon does; the head or the tail may be this one. */
      line: ControlClient.make(world, post, cores, core.view),
      start(): void {
        core.start();
        purge.start();
      },
      /** Tells the others that this daemon goes, for a second at the most. It must still be stopped. */
      leave: (): Promise<void> => core.leave(),
      stop(): void {
        core.stop();
        purge.stop();
        post.close();
      },
    });
  },
};
