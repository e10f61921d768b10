import { Random, type Route, type Routing } from '@pumicebarrow/forms';
import { Bounds } from './bounds.js';
import type { EngineModel } from './enginemodel.js';
import { ModelTenants } from './modeltenants.js';
import type { Fleet } from './fleet.js';
import type { Proposal } from './proposal.js';
import type { Seen } from './seen.js';

type Ruled = Extract<Seen, { what: 'ruled' }>['outcome'];
type Fault = 'none' | 'key' | 'service' | 'place' | 'weight' | 'timeout' | 'revision';
const FAULTS: readonly Fault[] = ['service', 'place', 'weight', 'timeout', 'revision', 'key'];
const GIVE_UP = 15_000;

const route = (prefix: string, kind: Route['kind'], service: string, more: Partial<Route> = {}): Route => ({
  ...{ name: prefix, host: 'fleet.example', prefix, kind, split: [{ service, weight: 1 }], timeout: 8000, aim: 900 },
  ...{ gap: 300, rank: 1, tries: 3, affinity: true, resumable: false, ...more },
});
const service = (name: string, model: EngineModel): Routing['services'][number] => ({
  ...{ name, health: '/health', connections: 200 },
  engine: {
    ...{ slots: model.slots, memory: model.memory, bytes: 18_432, link: model.link },
    ...{ hold: Bounds.hold, change: Bounds.change },
    models: ['m'],
  },
});

/**
 * Two operators. Invariants: each configuration has a path of its own, and moves `/flip/` from one service to the
 * other; one that got no clear answer is sent again unchanged, to any control replica, with a pause that grows.
 */
export const ModelOperators = {
  make(fleet: Fleet, tell: (x: Seen) => void) {
    const { motor } = fleet;
    const proposals: Proposal[] = [];
    const outcomes = new Map<number, Ruled>();
    const revoked = new Set<string>();
    let acker: string | null = null;
    let lost = 0;
    const any = (): string => fleet.replicaIds[Random.int(motor.chance, fleet.replicaIds.length)]!;
    const make = (base: number, revision: number, fault: Fault = 'none'): Proposal => {
      const n = proposals.length + 1,
        mark = `/mark-${n}/`;
      const routes = [
        route('/chat/', 'stream', 'alpha', { tries: 2 }),
        route('/code/', 'stream', 'alpha', { resumable: true }),
        route('/embed/', 'idempotent', 'alpha'),
        route('/once/', 'once', 'alpha', { tries: 2 }),
        route('/flip/', 'once', n % 2 === 0 ? 'alpha' : 'beta', { tries: 1 }),
        route(mark, 'once', 'alpha', { tries: 1 }),
        ...(fault === 'place' ? [route(mark, 'once', 'beta')] : []),
        ...(fault === 'service' ? [route('/bad/', 'once', 'gamma')] : []),
        ...(fault === 'timeout' ? [route('/bad/', 'once', 'alpha', { timeout: 0 })] : []),
        ...(fault === 'weight' ? [route('/bad/', 'once', 'alpha', { split: [{ service: 'alpha', weight: 0 }] })] : []),
      ];
      const tenants = ModelTenants.make(n, revoked);
      const limits = { header: 16_384, body: 4_194_304, headerWait: 3000, idle: 15_000 };
      const at = fault === 'revision' ? Math.max(1, base) : revision;
      const routing = {
        revision: at,
        routes,
        services: ['alpha', 'beta'].map((name) => service(name, fleet.platform.engine())),
        limits,
        tenants: fault === 'key' ? ModelTenants.shared(tenants) : tenants,
        source: `text ${n}`,
      };
      const p = { n, base, revision: at, valid: fault === 'none', mark, routing };
      proposals.push(p);
      return p;
    };
    /** Calls one control replica; null where nothing clear comes back in time. */
    const call = <T>(id: string, ms: number, fn: () => Promise<T | null>): Promise<T | null> =>
      new Promise((done) => {
        const b = fleet.boxes.get(id)!,
          life = b.life();
        const back = (v: T | null): void => motor.at(motor.now() + 1, () => done(v));
        motor.at(motor.now() + ms, () => done(null));
        motor.at(motor.now() + 1, function arrive() {
          if (!b.up() || b.life() !== life) back(null);
          else if (b.frozen()) motor.at(b.thaw(), arrive);
          else
            void fn().then((v) => {
              if (b.up() && b.life() === life && !(lost > 0 && motor.chance.real() < lost)) back(v);
            });
        });
      });
    const send = async (p: Proposal): Promise<Ruled> => {
      tell({ what: 'proposed', n: p.n, at: motor.now() });
      const until = motor.now() + GIVE_UP;
      let out: Ruled = 'unclear';
      for (let pause = 100; motor.now() < until && out === 'unclear'; pause = Math.min(1000, pause * 2)) {
        const id = any();
        const v = await call(id, 4200, () => fleet.desk.replace(id, p.base, p.routing));
        if (v?.ran === 'yes') out = 'acked';
        else if (v?.ran === 'no' && v.code === 'bad') out = 'bad';
        else if (v?.ran === 'no' && (v.code === 'lost' || v.code === 'stale')) out = 'lost';
        else await fleet.nap(pause);
        if (out === 'acked') acker = id;
      }
      outcomes.set(p.n, out);
      tell({ what: 'ruled', n: p.n, outcome: out, at: motor.now() });
      return out;
    };
    /** The newest revision as a control replica reads it back; null where none does for a time. */
    const read = async (): Promise<Routing | 'none' | null> => {
      const until = motor.now() + GIVE_UP;
      while (motor.now() < until) {
        const id = any();
        const got = await call(id, 3000, () => fleet.desk.read(id));
        if (got?.ok) return got.val ?? 'none';
        await fleet.nap(200);
      }
      return null;
    };
    const base = async (): Promise<number | null> => {
      const now = await read();
      return now === null ? null : now === 'none' ? 0 : now.revision;
    };
    const change = async (step?: number): Promise<boolean> => {
      const on = await base();
      return on !== null && (await send(make(on, on + (step ?? 1 + Random.int(motor.chance, 3))))) === 'acked';
    };
    /** One read at one replica, told of if it replied; one that can't be sure of the newest says so and is no reply. */
    const peek = async (id: string): Promise<void> => {
      const from = motor.now();
      const got = await call(id, 3000, () => fleet.desk.read(id));
      if (got?.ok) tell({ what: 'read', replica: id, from, revision: got.val?.revision ?? 0, at: motor.now() });
    };
    return {
      peek,
      /** A part of the answers to operators is lost on the way, until told otherwise. */
      losing(part: number): void {
        lost = part;
      },
      proposals,
      outcome: (n: number): Ruled | null => outcomes.get(n) ?? null,
      /** The control replica that acknowledged last. */
      acker: (): string | null => acker,
      /** Several operators on one base at once, each under the number that the others have too. */
      async crowd(n: number): Promise<void> {
        const on = await base();
        if (on !== null) await Promise.all(Array.from({ length: n }, () => send(make(on, on + 1))));
      },
      change,
      /** The usual key of a tenant's clients is taken away, or given back, by the changes from here on. */
      async revoke(n: number): Promise<boolean> {
        revoked.add(ModelTenants.usual(n));
        return change();
      },
      async restore(n: number): Promise<boolean> {
        revoked.delete(ModelTenants.usual(n));
        return change();
      },
      async race(): Promise<void> {
        const on = await base();
        if (on === null) return;
        await Promise.all([send(make(on, on + 1)), send(make(on, on + 2))]);
      },
      async bad(): Promise<void> {
        const on = await base();
        if (on === null) return;
        await send(make(on, on + 1, FAULTS[Random.int(motor.chance, FAULTS.length)]));
      },
      async readBack(): Promise<void> {
        for (const from = motor.now(); motor.now() - from < Bounds.contact; await fleet.nap(300)) {
          const now = await read();
          const some = now === null || now === 'none' ? null : now;
          tell({
            ...{ what: 'readback', revision: some?.revision ?? null },
            ...{ source: some ? String(some.source) : null, at: motor.now() },
          });
        }
      },
    };
  },
};
