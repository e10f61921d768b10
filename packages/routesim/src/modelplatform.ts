import { Err, Ok, type Result } from '@pumicebarrow/forms';
import type { ServerListSource, Server } from '@pumicebarrow/router';
import type { Box, Motor } from '@pumicebarrow/sim';
import { Bounds } from './bounds.js';
import type { Bent } from './bent.js';
import type { EngineModel } from './enginemodel.js';
import { ModelServer } from './modelserver.js';
import { EngineModels } from './enginemodels.js';
import type { Seen } from './seen.js';

type Model = ReturnType<typeof ModelServer.make>;
type Spec = { service: string; addr: string; zone: string; stage: 'prefill' | 'decode' };
const TICK = 100;
const RATE = 20;
const PAGE = 5;

/**
 * The platform: which servers there are, and its list of them. Invariants: the list is what was true `lag` ms ago; one
 * that leaves is listed as such before it ends; a crashed one stays listed for a while; every start is another life.
 */
export const ModelPlatform = {
  make(motor: Motor, bent: Bent, tell: (x: Seen) => void, mute: (a: string, b: string) => boolean) {
    const all: Model[] = [];
    let engine: EngineModel = EngineModels.small;
    const listed = new Map<string, Model>();
    let past: { at: number; rows: readonly Server[] }[] = [];
    let calls: number[] = [];
    let spare = 100;
    let lives = 0;
    const told = new Map<string, string>();
    const shown = (): readonly Server[] =>
      [...past].reverse().find((p) => p.at <= motor.now() - Bounds.lag)?.rows ?? past[0]?.rows ?? [];
    const look = (): void => {
      past = [...past.slice(-11), { at: motor.now(), rows: [...listed.values()].map((s) => s.row()) }];
      const now = new Map(shown().map((s) => [s.id, s.state]));
      for (const s of all) {
        const mark = now.get(s.id) ?? (told.has(s.id) ? 'gone' : 'new');
        if (mark === 'new' || told.get(s.id) === mark) continue;
        told.set(s.id, mark);
        if (mark !== 'ready') tell({ what: 'listed', server: s.id, state: mark, at: motor.now() });
      }
      motor.at(motor.now() + TICK, look);
    };
    const add = (spec: Spec): Model => {
      const s = ModelServer.make(motor, { ...spec, id: `i-${++lives}` }, engine, tell);
      all.push(s);
      listed.set(s.id, s);
      return s;
    };
    const address = (): string => `10.9.0.${spare++}:80`;
    const source = (b: Box): ServerListSource => ({
      poll: () => {
        const mine = b.life();
        return new Promise<Result<readonly Server[], string>>((done) => {
          const say = (r: Result<readonly Server[], string>, ms: number): void =>
            motor.at(motor.now() + ms, function fire() {
              if (b.life() !== mine) return;
              if (b.frozen()) motor.at(b.thaw(), fire);
              else done(r);
            });
          if (mute(b.id, 'platform') || mute('platform', b.id)) {
            say(Err('silent'), 1000);
            return;
          }
          motor.at(motor.now() + 1 + motor.chance.real() * 3, () => {
            calls = calls.filter((t) => t > motor.now() - 1000);
            calls.push(motor.now());
            const rows = shown();
            if (calls.length > RATE) say(Err('429'), 1);
            else {
              const seen = bent === 'hidesdrain' ? rows.map((s): Server => ({ ...s, state: 'ready' })) : rows;
              say(Ok(seen), 2 * Math.ceil(seen.length / PAGE));
            }
          });
        });
      },
    });
    return {
      all: (): readonly Model[] => all,
      up: (): readonly Model[] => all.filter((s) => s.state() === 'up'),
      at: (addr: string): Model | undefined => all.findLast((s) => s.addr === addr),
      add,
      address,
      source,
      start: look,
      engine: (): EngineModel => engine,
      /** Servers that are added from here on are of this model. */
      use(next: EngineModel): void {
        engine = next;
      },
      /** Its process dies; `dark` leaves its machine silent, and `back` ms later another life stands there. */
      crash(s: Model, dark: boolean, back: number | null): void {
        s.stop(dark);
        motor.at(motor.now() + Bounds.linger, () => listed.delete(s.id));
        if (back === null) return;
        motor.at(motor.now() + back, () => {
          listed.delete(s.id);
          s.end();
          add({ service: s.service, addr: s.addr, zone: s.zone, stage: s.stage() });
        });
      },
      /** It is listed as leaving, and ends later; its address may then serve another service. */
      retire(s: Model, reuse: boolean): void {
        s.drain();
        motor.at(motor.now() + Bounds.lag + Bounds.drain + 2500, () => {
          listed.delete(s.id);
          s.stop(false);
          if (!reuse) return;
          motor.at(motor.now() + Bounds.reuse, () => {
            const service = s.service === 'alpha' ? 'beta' : 'alpha';
            add({ service, addr: s.addr, zone: s.zone, stage: s.stage() });
          });
        });
      },
    };
  },
};
