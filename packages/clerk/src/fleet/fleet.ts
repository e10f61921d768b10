import {
  Random,
  Configurations,
  VersionOrder,
  Verdicts,
  type VersionStamp,
  type Verdict,
  type RequestError,
} from '@pumicebarrow/forms';
import { ControlClient, TraceService, Views } from '@pumicebarrow/registry';
import { ConfigurationPlanHandler, RequestLogHandler, type DaemonStatus } from '@pumicebarrow/router';
import { MessagingClient } from './messagingclient.js';
import { FleetDiscovery } from './fleetdiscovery.js';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';
import { RoutedFleetHealth } from './routedfleethealth.js';

type Reply = { verdict: Verdict; [key: string]: unknown };
const READ_TIMEOUT_MS = 2500;
const REQUEST_TIMEOUT_MS = 1200;
const PLAN_TIMEOUT_MS = 9000;
const FAULT_TEXTS: Record<RequestError, string> = {
  unsent: 'nothing listens there',
  lost: 'no reply came',
  wrong: 'no router or control replica replied there',
};
const coreUnavailable = (): Reply => ({
  verdict: Verdicts.notRun('unready', 'The core does not reply; nothing was read.', 1),
});

/** Operations on routers and control replicas over the daemon protocol. Only `plan` and `settle` change state. */
const createOperations = (
  client: ReturnType<typeof MessagingClient.make>,
  firstStatuses: readonly DaemonStatus[],
  addresses: readonly string[],
  addressProblems: readonly string[],
) => {
  const seeds = [...new Set([...addresses, ...firstStatuses.flatMap((t) => t.known.map((k) => k.addr))])];
  const controlClient = ControlClient.make(client.world, client.post, () => seeds);
  for (const t of firstStatuses) controlClient.learn(t.view);
  const discoverDaemons = async (): Promise<Daemon[]> => {
    const daemons = await FleetDiscovery.discover(client.post, firstStatuses);
    for (const d of daemons) controlClient.learn(d.told?.view ?? null);
    return daemons;
  };
  /** The server list of the head, or else of the daemon with the newest list. */
  const newestServerList = async (daemons: readonly Daemon[]): Promise<Pick<FleetState, 'servers' | 'orders'>> => {
    const listRank = (d: Daemon): VersionStamp => (d.told?.head ? [Infinity, 0] : (d.told?.list.mark ?? [-1, 0]));
    const holders = daemons
      .filter((d) => d.told?.list.mark)
      .sort((a, b) => VersionOrder.compare(listRank(b), listRank(a)));
    for (const d of holders) {
      const r = await FleetDiscovery.requestStatus(client.post, { addr: d.addr, who: d.told!.who }, true);
      if (r.ok && r.val.servers) return { servers: r.val.servers, orders: r.val.orders ?? [] };
    }
    return { servers: null, orders: [] };
  };
  return {
    async status(): Promise<Reply> {
      const daemons = await discoverDaemons();
      const [coreState, serverList] = await Promise.all([
        controlClient.read(undefined, READ_TIMEOUT_MS),
        newestServerList(daemons),
      ]);
      const core = coreState && {
        version: coreState.charter?.version ?? 0,
        routing: Configurations.asRouting(coreState.charter?.body),
      };
      const state: FleetState = { core, view: controlClient.view(), daemons, ...serverList };
      return {
        verdict: Verdicts.ran('read', 'As the daemons say.'),
        wrong: [...RoutedFleetHealth.problems(state), ...addressProblems],
        ...state,
      };
    },
    async trace(name: string, wantedVersion: number | null, step: number | null): Promise<Reply> {
      const docName = name === 'configuration' ? 'charter' : name;
      const daemons = await discoverDaemons();
      const daemonRows = await Promise.all(
        daemons.map(async ({ id, addr, told }) => {
          const r =
            told &&
            (await client.post.ask(
              addr,
              id,
              'trace.tell',
              { name: docName },
              TraceService.schemas.reply,
              REQUEST_TIMEOUT_MS,
            ));
          const reply = r?.ok ? r.val : null;
          const holds = reply?.marks.find((m) => m.name === docName)?.mark ?? null;
          return { id, reached: reply !== null, holds, steps: reply?.steps ?? [] };
        }),
      );
      const marks = daemonRows.flatMap((r) => [...(r.holds ? [r.holds] : []), ...r.steps.map((s) => s.mark)]);
      const matching = marks.filter(
        (m) => (wantedVersion === null || m[0] === wantedVersion) && (step === null || m[1] === step),
      );
      const newest = matching.sort(VersionOrder.compare).at(-1);
      if (!newest)
        return {
          verdict: Verdicts.notRun('unknown', `No daemon has seen ${name} ${wantedVersion ?? ''}.`.replace(' .', '.')),
        };
      const configuration = daemons.find((d) => d.told?.configuration?.version === newest[0])?.told?.configuration;
      const title =
        docName === 'charter'
          ? `Configuration ${configuration ? `of revision ${configuration.revision}` : `${newest[0]}`}`
          : null;
      return {
        ...{ verdict: Verdicts.ran('read', 'As the daemons say.'), name, version: newest[0], daemons: daemonRows },
        ...(title === null ? { step: newest[1], title: `${name} ${newest.join('.')}` } : { title }),
      };
    },
    async request(id: string): Promise<Reply> {
      const routers = (await discoverDaemons()).filter((d) => d.role === 'router');
      const rows = await Promise.all(
        routers.map(async (d) => {
          const r =
            d.told &&
            (await client.post.ask(
              d.addr,
              d.id,
              'request.tell',
              { id },
              RequestLogHandler.schemas.response,
              REQUEST_TIMEOUT_MS,
            ));
          return { id: d.id, zone: d.zone, reached: r?.ok ?? false, steps: r?.ok ? r.val.steps : [] };
        }),
      );
      if (rows.every((r) => r.steps.length === 0))
        return {
          verdict: Verdicts.notRun('unknown', `No router that replied has a record of request ${id}.`),
          daemons: rows,
        };
      return { verdict: Verdicts.ran('read', 'As the routers say.'), request: id, daemons: rows };
    },
    /** Tries the control replicas in order. The plan id makes this idempotent: repeats store the same plan. */
    async plan(text: string): Promise<Reply> {
      if (!controlClient.view()) await controlClient.look();
      const view = controlClient.view();
      const id = `p-${Random.hexId(client.world.random)}`;
      let requestLost = false;
      for (const m of view ? Views.allMembers(view) : []) {
        const r = await client.post.ask(
          m.addr,
          m.id,
          'intent.plan',
          { id, text },
          ConfigurationPlanHandler.schemas.response,
          PLAN_TIMEOUT_MS,
        );
        if (r.ok && r.val.verdict.code !== 'unready') return { ...r.val, plan: id };
        requestLost ||= !r.ok && r.val === 'lost';
      }
      const verdict = requestLost
        ? Verdicts.maybeRun('silent', `Plan ${id} may be stored; it takes effect only when it is confirmed.`)
        : Verdicts.notRun('unready', 'No control replica could store the plan; nothing was done.', 1);
      return { verdict, plan: id };
    },
    /** Confirms or drops a stored plan. */
    async settle(decision: 'confirm' | 'drop', plan: string): Promise<Reply> {
      const { ruling } = await controlClient.write({ do: decision, id: plan });
      return { ...ruling, plan };
    },
    async read(): Promise<Reply> {
      const coreState = await controlClient.read(undefined, READ_TIMEOUT_MS);
      if (!coreState) return coreUnavailable();
      const verdict = Verdicts.ran('read', 'As the core has it.');
      const { version, plan, body } = coreState.charter ?? { version: 0, plan: null, body: null };
      return { verdict, version, plan, configuration: body };
    },
    /** The state of a plan: open, or how it was decided. */
    async fate(plan: string): Promise<Reply> {
      const coreState = await controlClient.read(plan, READ_TIMEOUT_MS);
      if (!coreState) return coreUnavailable();
      if (!coreState.plan)
        return { verdict: Verdicts.notRun('unknown', `No plan ${plan} is known; only the latest 200 are kept.`) };
      const { fate, version, base } = coreState.plan;
      return { verdict: Verdicts.ran('read', `Plan ${plan} is ${fate}.`), fate, version: version ?? null, base };
    },
  };
};

/** Access to a routed fleet of routers and control replicas. */
export const Fleet = {
  /** Runs one operation on the fleet reachable at any of the addresses, then closes all connections. */
  async run(
    addresses: readonly string[],
    operation: (f: ReturnType<typeof createOperations>) => Promise<Reply>,
  ): Promise<Reply> {
    const client = MessagingClient.make();
    try {
      const replies = await Promise.all(
        addresses.map((addr) => FleetDiscovery.requestStatus(client.post, { addr, who: null }, false)),
      );
      const firstStatuses = replies.flatMap((r) => (r.ok ? [r.val] : []));
      // The other daemons soon forget a daemon that has gone, so a given address that fails is reported here.
      const addressProblems = replies.flatMap((r, i) => (r.err ? [`${addresses[i]!}: ${FAULT_TEXTS[r.val]}`] : []));
      if (firstStatuses.length > 0)
        return await operation(createOperations(client, firstStatuses, addresses, addressProblems));
      const reason = addressProblems.join('; ');
      return { verdict: Verdicts.notRun('unreached', reason === '' ? 'no address was given' : reason) };
    } finally {
      client.close();
    }
  },
};
