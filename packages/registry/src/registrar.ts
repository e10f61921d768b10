import { Err, Ok, Post, type Ident, type Result, type World } from '@pumicebarrow/forms';
import { Purge, Shelf, type Tunes } from '@pumicebarrow/purge';
import { Core } from './core.js';
import { Self } from './self.js';
import { Sound } from './sound.js';
import { Store } from './store.js';
import { TraceDesk } from './tracedesk.js';
import { Views } from './views.js';

type Startup = { id: string; addr: string; site: string; seeds: readonly string[]; tunes: Tunes };

/** A core daemon put together: disk, core and purge. */
export const Registrar = {
  async make(world: World, startup: Startup) {
    if (!world.disk) return Err('a core daemon needs a data folder') as Result<never, string>;
    const store = Store.make(world, world.disk);
    const log = world.log('core');
    const kept = await store.load();
    if (kept.err) return Err(kept.val) as Result<never, string>;
    if (kept.val.bad) log.warn('A damaged file was found; all were set aside. Rejoining as a newcomer.');
    const born = await Self.born(world, store, kept.val.born);
    if (born.err) return Err(born.val) as Result<never, string>;
    const ident: Ident = { id: startup.id, born: born.val, addr: startup.addr, site: startup.site, role: 'registry' };
    const post = Post.make(world, () => ident);
    const shelf = Shelf.make(Sound.doc);
    const seeds = (): readonly string[] => startup.seeds;
    const purge = Purge.make(
      world,
      post,
      () => ident,
      shelf,
      startup.tunes,
      seeds,
      (): readonly Ident[] => [...Views.idents(core.view()), ...core.desk.live()],
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
    const core = Core.make(world, post, () => ident, cores, store, kept.val, {
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
      shelf,
      post,
      start(): void {
        core.start();
        purge.start();
      },
      stop(): void {
        core.stop();
        purge.stop();
        post.close();
      },
    });
  },
};
