import type { Ident } from '@pumicebarrow/forms';
import { Check, Clauses, Dice, Verdicts, type Verdict, type World } from '@pumicebarrow/forms';
import { Diff, TraceDesk, Warnings, type CharterBody } from '@pumicebarrow/registry';
import { Type } from 'typebox';
import type { Counting } from './counting.js';
import { LendingControl } from './lending/lendingcontrol.js';
import { RequestDesk } from './requestdesk.js';
import { Wellness } from './wellness.js';

type Told = { verdict: Verdict; [key: string]: unknown };
const Named = Type.Object({ plan: Type.String({ minLength: 1, maxLength: 60 }) }, { additionalProperties: false });
const Planned = Type.Object(
  { charter: Type.Unknown(), id: Type.Optional(Type.String({ pattern: '^[\\w.:-]{1,60}$' })) },
  { additionalProperties: false },
);

/** What operators may ask of a daemon that serves `control`. */
export const Control = {
  make(world: World, d: Counting) {
    const unread = (): Told => ({ verdict: Verdicts.not('unready', 'The core does not reply; nothing was read.', 1) });
    const settle = async (what: 'confirm' | 'drop', body: unknown): Promise<Told> => {
      const got = Check.parse(Named, body);
      if (got.err) return { verdict: Verdicts.bad(got.val) };
      const { ruling } = await d.line.write({ do: what, id: got.val.plan });
      if (ruling.version !== undefined && ruling.verdict.ran === 'yes' && ruling.version > d.sheet.version()) {
        const now = await d.line.read(undefined, 800);
        if (now?.charter)
          d.purge.learn(
            {
              name: 'charter',
              mark: [now.charter.version, 0],
              body: { version: now.charter.version, plan: now.charter.plan, charter: now.charter.body },
            },
            'tail',
          );
      }
      return { ...ruling, plan: got.val.plan };
    };
    const ask = async (who: Ident, name: string | undefined) => {
      const r = await d.post.ask(
        who.addr,
        who.id,
        'trace.tell',
        name === undefined ? {} : { name },
        TraceDesk.forms.told,
        800,
      );
      return { id: who.id, reached: r.ok, told: r.ok ? r.val : null };
    };
    const everyone = (): Ident[] => {
      const all = new Map<string, Ident>();
      for (const m of d.line.view()?.chain ?? []) all.set(m.id, { ...m, site: 'core', role: 'registry' });
      for (const r of [...d.roster(), ...d.purge.peers(), ...d.met()]) if (!all.has(r.id)) all.set(r.id, r);
      return [...all.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
    };
    return {
      lending: LendingControl.make(d),
      async plan(body: unknown): Promise<Told> {
        const got = Check.parse(Planned, body);
        if (got.err) return { verdict: Verdicts.bad(got.val) };
        const will = Clauses.read(got.val.charter);
        if (will.err) return { verdict: Verdicts.bad(will.val) };
        const now = await d.line.read(undefined, 2500);
        if (!now) return unread();
        const base = now.charter?.version ?? 0;
        const id = got.val.id ?? `p-${Dice.word(world.chance)}`;
        const { ruling } = await d.line.write({ do: 'plan', id, base, charter: will.val });
        const was = now.charter?.body ?? null,
          rows = [...d.sheet.rows().values()].map((r) => r.row);
        const said = { changes: Diff.of(was, will.val), warnings: Warnings.of(was, will.val, rows) };
        return { ...ruling, plan: id, base, ...said };
      },
      confirm: (body: unknown): Promise<Told> => settle('confirm', body),
      drop: (body: unknown): Promise<Told> => settle('drop', body),
      async read(): Promise<Told> {
        const now = await d.line.read(undefined, 2500);
        if (!now) return unread();
        return {
          verdict: Verdicts.ran('read', 'As the core has it.'),
          version: now.charter?.version ?? 0,
          plan: now.charter?.plan ?? null,
          charter: now.charter?.body ?? null,
        };
      },
      async fate(plan: string): Promise<Told> {
        const now = await d.line.read(plan, 2500);
        if (!now) return unread();
        if (!now.plan)
          return { verdict: Verdicts.not('unknown', `No plan ${plan} is remembered; the latest 200 are.`) };
        return {
          verdict: Verdicts.ran('read', `Plan ${plan} is ${now.plan.fate}.`),
          fate: now.plan.fate,
          version: now.plan.version ?? null,
          base: now.plan.base,
        };
      },
      async status(): Promise<Told> {
        const now = await d.line.read(undefined, 1500);
        const rows = await Promise.all(
          everyone().map(async (who) => {
            const t = await ask(who, undefined);
            return {
              id: who.id,
              site: who.site,
              role: who.role,
              reached: t.reached,
              sure: t.told?.sure ?? t.reached,
              version:
                t.told?.sure === false ? null : (t.told?.marks.find((m) => m.name === 'charter')?.mark[0] ?? null),
            };
          }),
        );
        const sheet = [...d.sheet.rows().values()].map((r) => ({ ...r.row, mark: r.mark }));
        const wrong = Wellness.wrong({
          version: now ? (now.charter?.version ?? 0) : null,
          view: d.line.view(),
          daemons: rows,
          rows: sheet,
          charter: d.sheet.charter(),
          listed: d.watch.young() ? d.watch.all().filter((s) => s.mark === 'serving') : null,
        });
        return {
          verdict: Verdicts.ran('read', 'As the daemons say.'),
          wrong,
          core: now ? 'reached' : 'unreached',
          version: now?.charter?.version ?? null,
          view: d.line.view(),
          daemons: rows,
          sheet,
        };
      },
      async trace(name: string, version: number | null): Promise<Told> {
        const rows = await Promise.all(everyone().map((who) => ask(who, name)));
        const told = rows.map((r) => ({
          id: r.id,
          reached: r.reached,
          holds: r.told?.marks.find((m) => m.name === name)?.mark ?? null,
          steps: (r.told?.steps ?? []).filter((s) => version === null || s.mark[0] === version),
        }));
        const top = version ?? Math.max(0, ...told.map((t) => t.holds?.[0] ?? 0));
        const met = told.some((t) => t.steps.some((s) => s.mark[0] === top) || (t.holds?.[0] ?? -1) === top);
        if (!met) return { verdict: Verdicts.not('unknown', `No daemon has met ${name} ${version ?? ''}.`) };
        return { verdict: Verdicts.ran('read', 'As the daemons say.'), name, version: top, daemons: told };
      },
      /** What became of a request, as every daemon knows it. */
      async request(key: string): Promise<Told> {
        const rows = await Promise.all(
          everyone()
            .filter((w) => w.role === 'counter')
            .map(async (who) => {
              const r = await d.post.ask(who.addr, who.id, 'visit.tell', { key }, RequestDesk.forms.told, 800);
              return { id: who.id, reached: r.ok, steps: r.ok ? r.val.steps : [], entry: r.ok ? r.val.entry : null };
            }),
        );
        if (rows.every((r) => r.steps.length === 0 && r.entry === null))
          return { verdict: Verdicts.not('unknown', `No daemon that replied knows ${key}.`) };
        return { verdict: Verdicts.ran('read', 'As the daemons say.'), key, daemons: rows };
      },
      held: (): CharterBody | null => (d.shelf.get('charter')?.body as CharterBody | undefined) ?? null,
    };
  },
};
