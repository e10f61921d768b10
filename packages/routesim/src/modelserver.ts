import { Err, Ok, type Result } from '@pumicebarrow/forms';
import type { Prompt, SendFault, Server } from '@pumicebarrow/router';
import type { Motor } from '@pumicebarrow/sim';
import { Bounds } from './bounds.js';
import { PrefixMemory } from './prefixmemory.js';
import type { EngineModel } from './enginemodel.js';
import type { Seen } from './seen.js';
import type { ServerWork } from './serverwork.js';

type Stage = 'prefill' | 'decode';
type Held = { owner: string; tokens: number; until: number; prompt: Prompt | null };
type Spec = { id: string; service: string; addr: string; zone: string; stage: Stage };
const STRIDE = 4;
const TURNED = (why: string): SendFault => ({ ran: 'no', code: 'refused', why });

/**
 * One life of a model server. Invariants: it works on `slots` at once, by urgency, reading prompts in pieces between
 * the tokens of others; running requests, handles and kept parts share its memory, where the parts unused longest give
 * way, and then the newest of the least urgent; what it turns away it never runs.
 */
export const ModelServer = {
  make(motor: Motor, spec: Spec, model: EngineModel, tell: (x: Seen) => void) {
    const memory = PrefixMemory.make(model.memory);
    const handles = new Map<string, Held>();
    let stage: Stage = spec.stage;
    let fence = -1;
    let queue: ServerWork[] = [];
    let active: ServerWork[] = [];
    let state: 'up' | 'dark' | 'dead' = 'up';
    let leaving = false;
    let next: Stage | null = null;
    let ticking = false;
    let count = 0;
    const trouble = { hold: Bounds.hold, moves: 1, slow: 1, lose: 0, spoil: 0, shed: 0, hang: 0 };
    let pausedUntil = 0;
    let linkFree = 0;
    const now = motor.now;
    const order = (a: ServerWork, b: ServerWork): number => a.urgency - b.urgency || a.order - b.order;
    const lapse = (): void => {
      for (const [id, h] of handles) if (h.until <= now()) handles.delete(id);
    };
    const used = (): number =>
      active.reduce((n, w) => n + w.size + w.made, 0) + [...handles.values()].reduce((n, h) => n + h.tokens, 0);
    const drop = (w: ServerWork): void => {
      active = active.filter((x) => x !== w);
      queue = queue.filter((x) => x !== w);
    };
    const end = (w: ServerWork, r: Result<string, SendFault>): void => {
      drop(w);
      w.done(r);
    };
    const admit = (): void => {
      queue.sort(order);
      for (const w of [...queue]) {
        if (active.length >= model.slots) return;
        if (!memory.room(used() + w.size + w.out)) return;
        queue = queue.filter((x) => x !== w);
        active.push(w);
        w.left = w.moved ? 0 : Math.max(1, w.size - memory.held(w.prompt));
        if (!w.begun && w.step === 'run')
          tell({ what: 'ran', ...w.from, server: spec.id, service: spec.service, at: now() });
        w.begun = true;
      }
    };
    /** The newest of the least urgent is put back, and read anew. */
    const putBack = (): void => {
      while (!memory.room(used()) && active.length > 1) {
        const w = [...active].sort(order).at(-1)!;
        active = active.filter((x) => x !== w);
        w.moved = false;
        queue.push(w);
      }
    };
    const read = (): number => {
      const w = [...active].sort(order).find((x) => x.left > 0);
      if (!w) return 0;
      const piece = Math.min(w.left, stage === 'prefill' ? model.chunk : model.chunk / 4);
      w.left -= piece;
      if (w.left <= 0 && w.prompt) memory.keep(w.prompt, model.memory - used());
      return piece / (stage === 'prefill' ? model.pace : model.pace / 2);
    };
    const finish = (w: ServerWork): void => {
      const id = `h${spec.id}-${count++}`;
      if (w.step === 'read')
        handles.set(id, { owner: w.from.id, tokens: w.size, until: now() + trouble.hold, prompt: w.prompt });
      end(w, Ok(id));
    };
    const speak = (w: ServerWork): void => {
      if (w.step === 'read' || w.made >= w.out) {
        finish(w);
        return;
      }
      w.made = Math.min(w.out, w.made + 1);
      if (w.made % STRIDE !== 0 && w.made < w.out) return;
      const n = Math.ceil(w.made / STRIDE),
        last = w.made >= w.out;
      w.event({ n, run: w.run, key: w.key, last });
      if (motor.chance.real() < trouble.lose) {
        tell({ what: 'spoilt', id: w.from.id, server: spec.id, at: now() });
        end(w, Err({ ran: 'maybe', code: 'broken', why: 'the connection was closed' }));
      } else if (last) finish(w);
    };
    const tick = (): void => {
      ticking = false;
      if (state !== 'up') return;
      if (now() < pausedUntil) {
        wake(pausedUntil - now());
        return;
      }
      lapse();
      for (const w of [...queue])
        if (w.until <= now())
          end(w, w.begun ? Err({ ran: 'maybe', code: 'late', why: '504' }) : Err(TURNED('deadline')));
      for (const w of [...active]) if (w.until <= now()) end(w, Err({ ran: 'maybe', code: 'late', why: '504' }));
      if (next && active.length === 0) {
        const to = next;
        motor.at(now() + Bounds.change, () => {
          stage = to;
          next = null;
        });
      }
      admit();
      putBack();
      const spent = read();
      for (const w of [...active]) if (w.left <= 0) speak(w);
      if (active.length + queue.length > 0 || next)
        wake((model.step + model.stepPerRun * active.length + spent) * trouble.slow);
    };
    const wake = (ms: number): void => {
      if (ticking) return;
      ticking = true;
      motor.at(now() + ms, tick);
    };
    const says = (w: ServerWork, turned: 'taken' | 'refused' | 'misdirected'): void =>
      tell({
        ...{ what: 'arrived', ...w.from, server: spec.id, service: spec.service, step: w.step, turned, at: now() },
      });
    return {
      ...spec,
      slots: model.slots,
      trouble,
      state: () => state,
      handles,
      stage: (): Stage => stage,
      leaving: (): boolean => leaving,
      /** How the list is to show it. */
      row: (): Server => ({
        ...{ id: spec.id, service: spec.service, addr: spec.addr, zone: spec.zone, slots: model.slots, warm: 0, stage },
        state: leaving ? 'draining' : 'ready',
      }),
      /** Takes up a read or a run, or turns it away in words. */
      take(w: ServerWork, meant: string): void {
        const fit = w.step === 'read' ? stage === 'prefill' : stage === 'decode';
        if (meant !== spec.id || !fit) {
          says(w, 'misdirected');
          w.done(Err({ ran: 'no', code: 'misdirected', why: '421' }));
        } else if (queue.length >= model.queue || w.size + w.out > model.memory || next || w.until <= now()) {
          says(w, 'refused');
          w.done(Err(TURNED('full')));
        } else if (trouble.shed > 0 && motor.chance.real() < trouble.shed) {
          says(w, 'refused');
          w.done(Err(TURNED('grey')));
        } else {
          says(w, 'taken');
          // One that hangs is taken up and never worked on; nothing more is said of it.
          if (trouble.hang > 0 && motor.chance.real() < trouble.hang) return;
          queue.push(w);
          wake(1);
        }
      },
      refuse(w: ServerWork, why: string): void {
        says(w, 'refused');
        w.done(Err(TURNED(why)));
      },
      drop,
      /** How long a move of memory takes from now, or null where none is begun. */
      move(tokens: number): number | null {
        const ms = ((tokens * 18_432 * 8) / (model.link * 1000)) * trouble.moves;
        const at = Math.max(now(), linkFree);
        if (at - now() > 2000) return null;
        linkFree = at + ms;
        return linkFree - now();
      },
      /** Gives a handle's memory away, once. */
      give(id: string): Held | null {
        lapse();
        const h = handles.get(id) ?? null;
        handles.delete(id);
        return h;
      },
      order(to: Stage, holder: string, at: number, from: string): Result<'taken' | 'holds', 'refused' | 'fenced'> {
        tell({ what: 'ordered', server: spec.id, holder, fence: at, from, at: now() });
        if (at < fence) return Err('fenced');
        fence = at;
        if (next) return Err('refused');
        if (stage === to) return Ok('holds');
        next = to;
        for (const w of queue.filter((x) => !x.begun)) end(w, Err(TURNED('changing')));
        wake(1);
        return Ok('taken');
      },
      report: () => ({
        ...{ stage, busy: next !== null, orders: 0, queued: queue.length, active: active.length },
        ...{ used: used(), capacity: model.memory, handles: handles.size },
      }),
      drain(): void {
        leaving = true;
      },
      /** It sends nothing for so long, and then goes on with all it has. */
      pause(ms: number): void {
        pausedUntil = now() + ms;
      },
      /** Its machine goes: connections break, or say nothing more. */
      stop(dark: boolean): void {
        state = dark ? 'dark' : 'dead';
        const all = [...active, ...queue];
        active = [];
        queue = [];
        if (!dark) for (const w of all) w.done(Err({ ran: 'maybe', code: 'broken', why: 'reset' }));
      },
      end(): void {
        state = 'dead';
      },
    };
  },
};
