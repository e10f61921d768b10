import { Err, Post, type Charter, type Deed, type Ident, type Result } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { Line, Registrar } from '@pumicebarrow/registry';
import { Host } from './host.js';
import type { Motor } from './motor.js';
import { Net } from './net.js';
import { SimDisk } from './simdisk.js';
import { TopView } from './topview.js';

type Core = Extract<Awaited<ReturnType<typeof Registrar.make>>, { ok: true }>['val'];
const IDS = ['c1', 'c2', 'c3'];

/** The core alone on three simulated machines, and two machines that ask things of it. */
export const Bench = {
  ids: IDS,
  make(motor: Motor, pace: number, tell: (d: Deed) => void) {
    const net = Net.make(motor);
    const disks = new Map(IDS.map((id) => [id, SimDisk.make(motor, pace)]));
    const boxes = new Map(
      IDS.map((id, i) => [id, Host.make(motor, id, `10.0.0.${i + 1}:7000`, 's1', disks.get(id)!.disk, tell)]),
    );
    const desks = ['o1', 'o2'].map((id, i) => Host.make(motor, id, `10.3.0.${i + 1}:7000`, 's1', null, tell));
    const cores = new Map<string, Core>();
    const seeds = IDS.map((_, i) => `10.0.0.${i + 1}:7000`);
    let spare = 10;
    for (const b of [...boxes.values(), ...desks]) net.add(b);
    const start = async (id: string): Promise<void> => {
      const b = boxes.get(id)!;
      if (b.up()) return;
      const w = net.world(b),
        life = b.life();
      b.tell({ what: 'start' });
      const made = await Registrar.make(w, {
        id,
        addr: b.addr(),
        site: 's1',
        seeds: seeds.filter((a) => a !== b.addr()),
        tunes: Tuned,
      }).catch((e: unknown): Result<Core, string> => Err(String(e)));
      if (b.life() !== life) return;
      if (made.err) {
        // A daemon that can't use its disk ends; who looks after the machine starts it again.
        b.kill();
        motor.at(motor.now() + 500, () => {
          void start(id);
        });
        return;
      }
      cores.set(id, made.val);
      made.val.start();
    };
    const kill = (id: string): void => {
      const b = boxes.get(id)!;
      if (!b.up()) return;
      b.kill();
      disks.get(id)!.stop();
      cores.delete(id);
      b.tell({ what: 'killed' });
    };
    /** One writes, the other only reads, and so may know an old view for long. */
    const [line, reader] = desks.map((b) => {
      const w = net.world(b);
      const me: Ident = { id: b.id, born: 'o', addr: b.addr(), site: 's1', role: 'counter' };
      return Line.make(
        w,
        Post.make(w, () => me),
        () => seeds,
      );
    }) as [ReturnType<typeof Line.make>, ReturnType<typeof Line.make>];
    return {
      motor,
      net,
      disks,
      boxes,
      cores,
      line,
      reader,
      start,
      kill,
      ids: IDS,
      move(id: string): void {
        boxes.get(id)!.move(`10.0.1.${spare++}:7000`);
      },
      /** The ids on the chain, head first, as the newest view met has it. */
      chain: (): string[] => TopView.of(cores.values())?.chain.map((m) => m.id) ?? [],
      /** All are up, in the chain and voting, with nothing of the last fault left. */
      whole(): boolean {
        const view = TopView.of(cores.values());
        if (!view || cores.size < IDS.length || view.chain.length < IDS.length) return false;
        const known = (list: readonly { id: string; born: string }[]): boolean =>
          list.every((m) => cores.get(m.id)?.ident.born === m.born);
        const placed = view.chain.every((m) => boxes.get(m.id)!.addr() === m.addr);
        const fresh = [...cores.values()].every((c) => c.core.view()?.epoch === view.epoch && c.core.chain.fresh());
        return known(view.chain) && known(view.voters) && placed && fresh;
      },
      charter(n: number): Charter {
        return {
          sites: ['s1'],
          rules: [
            { name: 'verdict', weight: 1, urgency: 9, limit: n, waitlist: 1, deadline: 2000, pieces: 2, bytes: 1000 },
          ],
          servers: ['m1', 'm2'].map((id) => ({ id, site: 's1', part: 'either' as const, slots: 1 })),
          casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
        };
      },
    };
  },
};
