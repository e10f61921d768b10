import { Engine } from '@pumicebarrow/sim';
import type { Bent } from './bent.js';
import type { Drill } from './drill.js';
import { Evidence } from './evidence.js';
import { ModelClients } from './modelclients.js';
import { ModelTenants } from './modeltenants.js';
import { ModelOperators } from './modeloperators.js';
import { Rules } from './rules.js';
import type { Scene } from './scene.js';
import type { Seen } from './seen.js';
import type { Size } from './size.js';
import { Troubles } from './troubles.js';
import { VirtualFleet } from './virtualfleet.js';

const SETTLING_MS = 4000;
const CALM_MS = 5000;
const MAX_RUN_MS = 300_000;
const MIN_SERVED_FRACTION = 0.3;
/** Of so many probes one shows the key of a late configuration, or of one up to so many before it. */
const KEY_PROBES = 3;
const OLDER = 11;

/** Plays one drill over a fleet with one seed, and judges what was seen. */
export const Play = {
  async run(drill: Drill, chosenSize: Size, seed: number, bent: Bent = 'none') {
    const size = drill.size ?? chosenSize;
    const motor = Engine.make(seed);
    const seen: Seen[] = [];
    const tell = (x: Seen): void => void seen.push(x);
    const fleet = VirtualFleet.make(motor, size, bent, tell);
    const clients = ModelClients.make(fleet, bent, tell),
      operators = ModelOperators.make(fleet, tell),
      trouble = Troubles.make(fleet, tell);
    const s: Scene = { fleet, clients, operators, trouble };
    if (drill.engine) fleet.platform.use(drill.engine);
    for (const service of ['alpha', 'beta'])
      for (let i = 0; i < size.readers + size.decoders; i++) {
        const stage = i < size.readers ? 'prefill' : 'decode';
        fleet.platform.add({ service, addr: fleet.platform.address(), zone: `z${(i % 2) + 1}`, stage });
      }
    let over = false;
    let done = false;
    let rounds = 0;
    const probes = async (): Promise<void> => {
      while (!over) {
        await fleet.nap(60);
        const r = fleet.routerIds[Math.floor(motor.chance.real() * fleet.routerIds.length)]!;
        const p = operators.proposals.slice(-4)[Math.floor(motor.chance.real() * 4)];
        if (motor.chance.real() < 0.5) clients.probe(r, '/flip/', p && p.n % 2 === 1 ? 'beta' : 'alpha');
        else if (p) clients.probe(r, p.mark, 'alpha');
        if (p && ++rounds % KEY_PROBES === 0)
          clients.probe(r, '/once/', 'alpha', ModelTenants.own(p.n - (rounds % OLDER)));
      }
    };
    const reads = async (): Promise<void> => {
      while (!over) {
        await fleet.nap(250);
        void operators.peek(fleet.replicaIds[Math.floor(motor.chance.real() * fleet.replicaIds.length)]!);
      }
    };
    const script = async (): Promise<void> => {
      fleet.platform.start();
      fleet.startAll();
      await fleet.nap(1500);
      for (let i = 0; i < 5 && !(await operators.change()); i++) await fleet.nap(500);
      fleet.found();
      await fleet.nap(SETTLING_MS);
      clients.start();
      void probes();
      void reads();
      await fleet.nap(CALM_MS);
      await operators.change();
      await drill.run(s);
      await fleet.nap(CALM_MS);
      await operators.change();
      await fleet.nap(CALM_MS);
      clients.stop();
      over = true;
      await fleet.nap(9000);
      await operators.readBack();
      done = true;
    };
    void script();
    for (let t = 0; !done && t < MAX_RUN_MS; t += 1000) await motor.run(t);
    tell({ what: 'end', at: motor.now() });
    const e = Evidence.make(seen, operators.proposals);
    const rules = Rules.map((r) => ({ name: r.name, ...r.check(e) }));
    const keys = e.of('wish').length;
    const served = new Set(
      e
        .of('sent')
        .filter((x) => e.answered.get(x.id)?.outcome === 'whole')
        .map((x) => x.key),
    );
    const part = e.of('wish').filter((w) => served.has(w.key)).length / Math.max(1, keys);
    const faults = rules.flatMap((r) => r.faults.slice(0, 4).map((x) => `${r.name}: ${x}`));
    if (!done) faults.push('the run did not end');
    if (!drill.meets(seen)) faults.push('the drill did not bring its trouble about');
    if (part < MIN_SERVED_FRACTION) faults.push(`only ${part} were served`);
    return {
      faults,
      rules,
      served: part,
      wishes: keys,
      events: motor.events(),
      seen: seen as readonly Seen[],
      at: motor.now(),
    };
  },
};
