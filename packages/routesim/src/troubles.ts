import { Random } from '@pumicebarrow/forms';
import { Bounds } from './bounds.js';
import type { Fleet } from './fleet.js';
import type { Seen } from './seen.js';

type How = { planned?: boolean; edges?: boolean };

/** Brings trouble, and says so. Invariant: a machine that was killed is started again by whoever killed it. */
export const Troubles = {
  make(fleet: Fleet, tell: (x: Seen) => void) {
    const { motor, platform } = fleet;
    const note = (kind: string, ids: readonly string[], ms: number, how: How = {}): void =>
      tell({
        ...{ what: 'trouble', kind, ids, until: motor.now() + ms, planned: how.planned ?? false },
        ...{ edges: how.edges ?? false, at: motor.now() },
      });
    const some = (ids: readonly string[], n: number): string[] => Random.sample(motor.chance, ids, n);
    const later = (ms: number, fn: () => void): void => motor.at(motor.now() + ms, fn);
    const servers = (part: number, spare = true) => {
      const all = platform.up().filter((s) => !s.leaving());
      const n = Math.max(1, Math.round(all.length * part));
      const left = new Map<string, number>();
      const key = (s: (typeof all)[number]): string => `${s.service} ${s.stage()}`;
      for (const s of all) left.set(key(s), (left.get(key(s)) ?? 0) + 1);
      const out: typeof all = [];
      for (const s of Random.sample(motor.chance, all, all.length)) {
        if (out.length >= n || (spare && (left.get(key(s)) ?? 0) < 2)) continue;
        left.set(key(s), left.get(key(s))! - 1);
        out.push(s);
      }
      return out;
    };
    const t = {
      ...{ note, some, later, servers },
      kill(ids: readonly string[], ms: number, dark = false): void {
        note('kill', fleet.together(ids), ms, { edges: ids.every((id) => fleet.replicaIds.includes(id)) });
        for (const id of ids) {
          fleet.down(id, dark);
          later(ms, () => fleet.start(id));
        }
      },
      freeze(ids: readonly string[], ms: number, pause = false): void {
        note('freeze', fleet.together(ids), ms, { edges: ids.every((id) => fleet.replicaIds.includes(id)) });
        for (const id of fleet.together(ids)) {
          if (pause) fleet.boxes.get(id)!.pause(ms);
          else fleet.boxes.get(id)!.freeze(ms);
        }
      },
      async term(ids: readonly string[], atOnce: number, gap: number): Promise<void> {
        for (let i = 0; i < ids.length; i += atOnce) {
          const part = ids.slice(i, i + atOnce);
          note('term', fleet.together(part), Bounds.grace, { planned: true, edges: true });
          await Promise.all(
            part.map(async (id) => {
              await fleet.term(id);
              await fleet.nap(400);
              fleet.start(id);
            }),
          );
          await fleet.nap(gap);
        }
      },
      cut(a: readonly string[], b: readonly string[], ms: number, oneway = false): void {
        note('cut', fleet.together(a), ms, { edges: a.every((id) => fleet.replicaIds.includes(id)) });
        const lift = fleet.net.cut(fleet.together(a), fleet.together(b), oneway);
        later(ms, lift);
      },
      step(ids: readonly string[], by: number, ms: number): void {
        note('clock', ids, 0);
        for (const id of ids) fleet.boxes.get(id)!.skew(by);
        later(ms, () => {
          note('clock', ids, 0);
          for (const id of ids) fleet.boxes.get(id)!.skew(-by);
        });
      },
      disk(how: 'slow' | 'full' | 'stall', id: string, ms: number): void {
        note(`disk ${how}`, [id], ms);
        const d = fleet.disks.get(id)!;
        if (how === 'slow') d.slow(250);
        if (how === 'full') d.fill(true);
        if (how === 'stall') d.stall(ms);
        later(ms, () => {
          d.slow(0);
          d.fill(false);
        });
      },
      crash(part: number, how: 'back' | 'dark' | 'gone', ms: number): void {
        for (const s of servers(part)) {
          note('crash', [s.id], Bounds.linger + ms);
          platform.crash(s, how === 'dark', how === 'gone' ? null : ms);
          if (how !== 'gone') continue;
          later(1500, () => {
            platform.add({ service: s.service, addr: platform.address(), zone: s.zone, stage: s.stage() });
          });
        }
      },
      async release(part: number, gap: number, reuse = false): Promise<void> {
        for (const s of servers(part, false)) {
          note('release', [], 8000, { planned: true });
          platform.add({ service: s.service, addr: platform.address(), zone: s.zone, stage: s.stage() });
          await fleet.nap(gap);
          platform.retire(s, reuse);
        }
      },
      wipe(id: string, ms: number): void {
        note('wipe', fleet.together([id]), ms + Bounds.catchUp, { edges: true });
        fleet.down(id, true);
        fleet.wipe(id);
        later(ms, () => fleet.start(id));
      },
      async replace(id: string, planned: boolean): Promise<void> {
        note('replace', fleet.together([id]), 3000, { planned, edges: true });
        if (!planned) fleet.down(id, true);
        if (!planned) fleet.wipe(id);
        fleet.bar(id);
        if (!planned) await fleet.nap(1000);
        const next = fleet.replaceReplica(id);
        note('replace', fleet.together([next]), Bounds.catchUp, { planned, edges: true });
        fleet.start(next);
        if (!planned) return;
        await fleet.nap(4000);
        note('replace', fleet.together([id]), Bounds.grace, { planned, edges: true });
        await fleet.term(id);
      },
    };
    return t;
  },
};
