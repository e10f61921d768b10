import { Dice, Intents, Order, Verdicts, type Mark, type Verdict, type WireFault } from '@pumicebarrow/forms';
import { ControlClient, TraceDesk, Views } from '@pumicebarrow/registry';
import { IntentDesk, RequestDesk, type DaemonStatus } from '@pumicebarrow/router';
import { Caller } from './caller.js';
import { Census } from './census.js';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';
import { FleetWellness } from './fleetwellness.js';

type Told = { verdict: Verdict; [key: string]: unknown };
const READ = 2500;
const ASK = 1200;
const PLAN = 9000;
const FAULTS: Record<WireFault, string> = {
  unsent: 'nothing listens there',
  lost: 'no reply came',
  wrong: 'no router or control replica replied there',
};
const unread = (): Told => ({ verdict: Verdicts.not('unready', 'The core does not reply; nothing was read.', 1) });

/** Routers and replicas, asked over their own wire. Invariant: nothing but `plan` and `settle` changes it. */
const ask = (
  c: ReturnType<typeof Caller.make>,
  first: readonly DaemonStatus[],
  at: readonly string[],
  mute: readonly string[],
) => {
  const seeds = [...new Set([...at, ...first.flatMap((t) => t.known.map((k) => k.addr))])];
  const line = ControlClient.make(c.world, c.post, () => seeds);
  for (const t of first) line.learn(t.view);
  const everyone = async (): Promise<Daemon[]> => {
    const all = await Census.take(c.post, first);
    for (const d of all) line.learn(d.told?.view ?? null);
    return all;
  };
  /** The servers as the head has them, or whoever holds the newest list. */
  const listed = async (daemons: readonly Daemon[]): Promise<Pick<FleetState, 'servers' | 'orders'>> => {
    const rank = (d: Daemon): Mark => (d.told?.head ? [Infinity, 0] : (d.told?.list.mark ?? [-1, 0]));
    const able = daemons.filter((d) => d.told?.list.mark).sort((a, b) => Order.cmp(rank(b), rank(a)));
    for (const d of able) {
      const r = await Census.ask(c.post, { addr: d.addr, who: d.told!.who }, true);
      if (r.ok && r.val.servers) return { servers: r.val.servers, orders: r.val.orders ?? [] };
    }
    return { servers: null, orders: [] };
  };
  return {
    async status(): Promise<Told> {
      const daemons = await everyone();
      const [now, lists] = await Promise.all([line.read(undefined, READ), listed(daemons)]);
      const core = now && { version: now.charter?.version ?? 0, routing: Intents.routing(now.charter?.body) };
      const state: FleetState = { core, view: line.view(), daemons, ...lists };
      return {
        verdict: Verdicts.ran('read', 'As the daemons say.'),
        wrong: [...FleetWellness.wrong(state), ...mute],
        ...state,
      };
    },
    async trace(name: string, want: number | null, step: number | null): Promise<Told> {
      const doc = name === 'configuration' ? 'charter' : name;
      const daemons = await everyone();
      const rows = await Promise.all(
        daemons.map(async ({ id, addr, told }) => {
          const r = told && (await c.post.ask(addr, id, 'trace.tell', { name: doc }, TraceDesk.forms.told, ASK));
          const got = r?.ok ? r.val : null;
          const holds = got?.marks.find((m) => m.name === doc)?.mark ?? null;
          return { id, reached: got !== null, holds, steps: got?.steps ?? [] };
        }),
      );
      const marks = rows.flatMap((r) => [...(r.holds ? [r.holds] : []), ...r.steps.map((s) => s.mark)]);
      const fits = marks.filter((m) => (want === null || m[0] === want) && (step === null || m[1] === step));
      const top = fits.sort(Order.cmp).at(-1);
      if (!top)
        return { verdict: Verdicts.not('unknown', `No daemon has met ${name} ${want ?? ''}.`.replace(' .', '.')) };
      const held = daemons.find((d) => d.told?.configuration?.version === top[0])?.told?.configuration;
      const title = doc === 'charter' ? `Configuration ${held ? `of revision ${held.revision}` : `${top[0]}`}` : null;
      return {
        ...{ verdict: Verdicts.ran('read', 'As the daemons say.'), name, version: top[0], daemons: rows },
        ...(title === null ? { step: top[1], title: `${name} ${top.join('.')}` } : { title }),
      };
    },
    async request(id: string): Promise<Told> {
      const routers = (await everyone()).filter((d) => d.role === 'router');
      const rows = await Promise.all(
        routers.map(async (d) => {
          const r = d.told && (await c.post.ask(d.addr, d.id, 'request.tell', { id }, RequestDesk.forms.told, ASK));
          return { id: d.id, zone: d.zone, reached: r?.ok ?? false, steps: r?.ok ? r.val.steps : [] };
        }),
      );
      if (rows.every((r) => r.steps.length === 0))
        return { verdict: Verdicts.not('unknown', `No router that replied remembers a request ${id}.`), daemons: rows };
      return { verdict: Verdicts.ran('read', 'As the routers say.'), request: id, daemons: rows };
    },
    /** The control replicas are tried in order; the same name makes the same plan, whoever hears of it first. */
    async plan(text: string): Promise<Told> {
      if (!line.view()) await line.look();
      const view = line.view();
      const id = `p-${Dice.word(c.world.chance)}`;
      let lost = false;
      for (const m of view ? Views.all(view) : []) {
        const r = await c.post.ask(m.addr, m.id, 'intent.plan', { id, text }, IntentDesk.forms.told, PLAN);
        if (r.ok && r.val.verdict.code !== 'unready') return { ...r.val, plan: id };
        lost ||= !r.ok && r.val === 'lost';
      }
      const verdict = lost
        ? Verdicts.maybe('silent', `Plan ${id} may be stored; it takes hold only when it is confirmed.`)
        : Verdicts.not('unready', 'No control replica could store the plan; nothing was done.', 1);
      return { verdict, plan: id };
    },
    async settle(what: 'confirm' | 'drop', plan: string): Promise<Told> {
      const { ruling } = await line.write({ do: what, id: plan });
      return { ...ruling, plan };
    },
    async read(): Promise<Told> {
      const now = await line.read(undefined, READ);
      if (!now) return unread();
      const verdict = Verdicts.ran('read', 'As the core has it.');
      const { version, plan, body } = now.charter ?? { version: 0, plan: null, body: null };
      return { verdict, version, plan, configuration: body };
    },
    async fate(plan: string): Promise<Told> {
      const now = await line.read(plan, READ);
      if (!now) return unread();
      if (!now.plan) return { verdict: Verdicts.not('unknown', `No plan ${plan} is remembered; the latest 200 are.`) };
      const { fate, version, base } = now.plan;
      return { verdict: Verdicts.ran('read', `Plan ${plan} is ${fate}.`), fate, version: version ?? null, base };
    },
  };
};

export const Fleet = {
  /** Does one thing with a fleet that is reached at any of the addresses; all its lines are closed afterwards. */
  async with(at: readonly string[], what: (f: ReturnType<typeof ask>) => Promise<Told>): Promise<Told> {
    const c = Caller.make();
    try {
      const got = await Promise.all(at.map((addr) => Census.ask(c.post, { addr, who: null }, false)));
      const first = got.flatMap((r) => (r.ok ? [r.val] : []));
      // A daemon that is gone is soon forgotten by all others; who gave its address is told.
      const mute = got.flatMap((r, i) => (r.err ? [`${at[i]!}: ${FAULTS[r.val]}`] : []));
      if (first.length > 0) return await what(ask(c, first, at, mute));
      const why = mute.join('; ');
      return { verdict: Verdicts.not('unreached', why === '' ? 'no address was given' : why) };
    } finally {
      c.close();
    }
  },
};
