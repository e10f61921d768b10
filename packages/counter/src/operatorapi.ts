import type { Ident } from '@pumicebarrow/forms';
import { SchemaCheck, ConfigurationValidator, Random, Verdicts, type Verdict, type World } from '@pumicebarrow/forms';
import { ConfigurationDiff, TraceService, ConfigurationWarnings, type ConfigurationBody } from '@pumicebarrow/registry';
import { Type } from 'typebox';
import type { CounterDaemon } from './counterdaemon.js';
import { LendingApi } from './lending/lendingapi.js';
import { RequestLogHandler } from './requestloghandler.js';
import { FleetHealth } from './fleethealth.js';

type Answer = { verdict: Verdict; [key: string]: unknown };
const PlanReference = Type.Object(
  { plan: Type.String({ minLength: 1, maxLength: 60 }) },
  { additionalProperties: false },
);
const PlanRequest = Type.Object(
  { charter: Type.Unknown(), id: Type.Optional(Type.String({ pattern: '^[\\w.:-]{1,60}$' })) },
  { additionalProperties: false },
);

/** The operators' interface of a daemon that serves `control`: configuration plans, status and tracing. */
export const OperatorApi = {
  make(world: World, daemon: CounterDaemon) {
    const noReply = (): Answer => ({
      verdict: Verdicts.notRun('unready', 'The core does not reply; nothing was read.', 1),
    });
    /** Confirms or drops a plan. A version confirmed is stored here at once, without waiting for gossip. */
    const resolvePlan = async (command: 'confirm' | 'drop', body: unknown): Promise<Answer> => {
      const parsed = SchemaCheck.parse(PlanReference, body);
      if (parsed.err) return { verdict: Verdicts.invalid(parsed.val) };
      const { ruling } = await daemon.controlClient.write({ do: command, id: parsed.val.plan });
      if (ruling.version !== undefined && ruling.verdict.ran === 'yes' && ruling.version > daemon.sheet.version()) {
        const latest = await daemon.controlClient.read(undefined, 800);
        if (latest?.charter)
          daemon.purge.learn(
            {
              name: 'charter',
              mark: [latest.charter.version, 0],
              body: { version: latest.charter.version, plan: latest.charter.plan, charter: latest.charter.body },
            },
            'tail',
          );
      }
      return { ...ruling, plan: parsed.val.plan };
    };
    /** Asks a daemon which records it holds, and for the trace of one record if `name` is given. */
    const requestTrace = async (ident: Ident, name: string | undefined) => {
      const reply = await daemon.post.ask(
        ident.addr,
        ident.id,
        'trace.tell',
        name === undefined ? {} : { name },
        TraceService.schemas.reply,
        800,
      );
      return { id: ident.id, reached: reply.ok, reported: reply.ok ? reply.val : null };
    };
    /** The control replicas and all daemons known here, also those that answered lately but no longer do. */
    const allDaemons = (): Ident[] => {
      const byId = new Map<string, Ident>();
      for (const m of daemon.controlClient.view()?.chain ?? [])
        byId.set(m.id, { ...m, site: 'core', role: 'registry' });
      for (const r of [...daemon.roster(), ...daemon.purge.peers(), ...daemon.recentDaemons()])
        if (!byId.has(r.id)) byId.set(r.id, r);
      return [...byId.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
    };
    return {
      lending: LendingApi.make(daemon),
      /** Submits a configuration as a plan, and returns what it would change and what to watch out for. */
      async plan(body: unknown): Promise<Answer> {
        const parsed = SchemaCheck.parse(PlanRequest, body);
        if (parsed.err) return { verdict: Verdicts.invalid(parsed.val) };
        const proposed = ConfigurationValidator.parse(parsed.val.charter);
        if (proposed.err) return { verdict: Verdicts.invalid(proposed.val) };
        const latest = await daemon.controlClient.read(undefined, 2500);
        if (!latest) return noReply();
        const base = latest.charter?.version ?? 0;
        const id = parsed.val.id ?? `p-${Random.hexId(world.random)}`;
        const { ruling } = await daemon.controlClient.write({ do: 'plan', id, base, charter: proposed.val });
        const current = latest.charter?.body ?? null,
          rows = [...daemon.sheet.assignments().values()].map((r) => r.assignment);
        const review = {
          changes: ConfigurationDiff.of(current, proposed.val),
          warnings: ConfigurationWarnings.of(current, proposed.val, rows),
        };
        return { ...ruling, plan: id, base, ...review };
      },
      confirm: (body: unknown): Promise<Answer> => resolvePlan('confirm', body),
      drop: (body: unknown): Promise<Answer> => resolvePlan('drop', body),
      /** The configuration in force, read from the tail of the chain. */
      async read(): Promise<Answer> {
        const latest = await daemon.controlClient.read(undefined, 2500);
        if (!latest) return noReply();
        return {
          verdict: Verdicts.ran('read', 'As the core has it.'),
          version: latest.charter?.version ?? 0,
          plan: latest.charter?.plan ?? null,
          charter: latest.charter?.body ?? null,
        };
      },
      /** What became of a plan. */
      async planOutcome(plan: string): Promise<Answer> {
        const latest = await daemon.controlClient.read(plan, 2500);
        if (!latest) return noReply();
        if (!latest.plan)
          return { verdict: Verdicts.notRun('unknown', `No plan ${plan} is remembered; the latest 200 are.`) };
        return {
          verdict: Verdicts.ran('read', `Plan ${plan} is ${latest.plan.fate}.`),
          fate: latest.plan.fate,
          version: latest.plan.version ?? null,
          base: latest.plan.base,
        };
      },
      /** State of the whole fleet, and its problems. */
      async status(): Promise<Answer> {
        const latest = await daemon.controlClient.read(undefined, 1500);
        const daemons = await Promise.all(
          allDaemons().map(async (ident) => {
            const trace = await requestTrace(ident, undefined);
            return {
              id: ident.id,
              site: ident.site,
              role: ident.role,
              reached: trace.reached,
              sure: trace.reported?.sure ?? trace.reached,
              version:
                trace.reported?.sure === false
                  ? null
                  : (trace.reported?.marks.find((m) => m.name === 'charter')?.mark[0] ?? null),
            };
          }),
        );
        const sheet = [...daemon.sheet.assignments().values()].map((r) => ({ ...r.assignment, mark: r.stamp }));
        const wrong = FleetHealth.problems({
          version: latest ? (latest.charter?.version ?? 0) : null,
          view: daemon.controlClient.view(),
          daemons,
          rows: sheet,
          configuration: daemon.sheet.configuration(),
          listed: daemon.inventory.isFresh() ? daemon.inventory.all().filter((s) => s.mark === 'serving') : null,
        });
        return {
          verdict: Verdicts.ran('read', 'As the daemons say.'),
          wrong,
          core: latest ? 'reached' : 'unreached',
          version: latest?.charter?.version ?? null,
          view: daemon.controlClient.view(),
          daemons,
          sheet,
        };
      },
      /** How a version of a record has reached the daemons; the newest version if `version` is null. */
      async trace(name: string, version: number | null): Promise<Answer> {
        const replies = await Promise.all(allDaemons().map((ident) => requestTrace(ident, name)));
        const daemons = replies.map((r) => ({
          id: r.id,
          reached: r.reached,
          holds: r.reported?.marks.find((m) => m.name === name)?.mark ?? null,
          steps: (r.reported?.steps ?? []).filter((s) => version === null || s.mark[0] === version),
        }));
        const wanted = version ?? Math.max(0, ...daemons.map((d) => d.holds?.[0] ?? 0));
        const known = daemons.some((d) => d.steps.some((s) => s.mark[0] === wanted) || (d.holds?.[0] ?? -1) === wanted);
        if (!known) return { verdict: Verdicts.notRun('unknown', `No daemon has met ${name} ${version ?? ''}.`) };
        return { verdict: Verdicts.ran('read', 'As the daemons say.'), name, version: wanted, daemons };
      },
      /** What became of a request, as each daemon knows it. */
      async request(key: string): Promise<Answer> {
        const daemons = await Promise.all(
          allDaemons()
            .filter((w) => w.role === 'counter')
            .map(async (ident) => {
              const reply = await daemon.post.ask(
                ident.addr,
                ident.id,
                'visit.tell',
                { key },
                RequestLogHandler.schemas.reply,
                800,
              );
              return {
                id: ident.id,
                reached: reply.ok,
                steps: reply.ok ? reply.val.steps : [],
                entry: reply.ok ? reply.val.entry : null,
              };
            }),
        );
        if (daemons.every((r) => r.steps.length === 0 && r.entry === null))
          return { verdict: Verdicts.notRun('unknown', `No daemon that replied knows ${key}.`) };
        return { verdict: Verdicts.ran('read', 'As the daemons say.'), key, daemons };
      },
      /** The configuration record stored by this daemon. */
      storedConfiguration: (): ConfigurationBody | null =>
        (daemon.recordStore.get('charter')?.body as ConfigurationBody | undefined) ?? null,
    };
  },
};
