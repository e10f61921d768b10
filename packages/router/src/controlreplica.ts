import { Ok } from '@pumicebarrow/forms';
import type { Fault, MetricFamily, Result, Routing, World } from '@pumicebarrow/forms';
import { CoreMetrics, Registrar, Views } from '@pumicebarrow/registry';
import { ConfigurationApi } from './configurationcalls.js';
import { IntentDesk } from './intentdesk.js';
import { ReplicaHandler } from './replicahandler.js';
import type { Engine } from './engine.js';
import { LoadTable } from './loadtable.js';
import { ServerListPublisher } from './listduty.js';
import type { ListSource } from './listsource.js';
import type { RouterOptions } from './routerstartup.js';
import { SharedSound } from './sharedsound.js';
import { StageDuty } from './stageduty.js';
import { StatusDesk } from './statusdesk.js';

type Core = { losses: number; first: boolean; lease: number } & {
  /** How an operator's text becomes a routing; without it no plan can be made here. */
  read?: (text: string) => Result<Routing, Fault[]>;
};

/** A core daemon of a routed fleet put together: the registry, the duties, and the operators' desk. */
export const ControlReplica = {
  async make(world: World, startup: Omit<RouterOptions, 'revocation'> & Core, source: ListSource, engine: Engine) {
    const made = await Registrar.make(world, {
      ...{ id: startup.id, addr: startup.addr, site: startup.zone, seeds: startup.seeds, tunes: startup.tunes },
      ...{ losses: startup.losses, first: startup.first, sound: SharedSound.doc, known: () => desk.routers() },
    });
    if (made.err) return made;
    const d = made.val;
    const { clock } = world;
    const view = () => d.core.view();
    const head = (): boolean => {
      const v = view();
      return v !== null && Views.same(Views.head(v), d.ident);
    };
    const speaks = (): boolean => head() && d.core.live();
    /** The agreed view's epoch, at the one daemon that may speak for it: no two have one, and it only rises. */
    const fence = (): number | null => (speaks() ? (view()?.epoch ?? null) : null);
    const duty = ServerListPublisher.make({
      ...{ clock, source, purge: d.purge },
      fence,
      every: Math.max(400, startup.drain / 4),
    });
    const version = (): number => d.core.chain.passed()?.charter?.version ?? 0;
    const desk = ReplicaHandler.make({ clock, post: d.post, view, speaks, version, list: duty.now });
    /** ms that a server of a service is away while it changes its stage, as the configuration says. */
    const away = (service: string): number => {
      const intent = d.core.chain.passed()?.charter?.body;
      if (!intent || !('services' in intent)) return 0;
      return intent.services.find((s) => s.name === service)?.engine?.change ?? 0;
    };
    const stages = StageDuty.make({
      ...{ clock, log: world.log('stages'), engine, purge: d.purge, shelf: d.shelf, fence, self: d.ident.id },
      ...{ servers: duty.servers, load: desk.load, lease: startup.lease, away },
    });
    const loadTable = LoadTable.make(clock, d.post, d.shelf);
    IntentDesk.make(d.post, d.line, startup.read ?? null);
    StatusDesk.make({
      ...{ clock, post: d.post, shelf: d.shelf, self: () => d.ident, view, head: speaks },
      state: d.core.life,
      sure: () => d.core.live() && d.core.chain.passed() !== null,
      list: () => {
        const now = duty.now();
        return now ? { age: now.age, young: now.age < startup.drain } : null;
      },
      ...{ silent: () => null, suspected: () => [], known: () => [...d.purge.peers(), ...desk.routers()] },
    });
    return Ok({
      ...{
        core: d.core,
        purge: d.purge,
        shelf: d.shelf,
        post: d.post,
        line: d.line,
        ident: d.ident,
        desk,
        duty,
        stages,
      },
      ...ConfigurationApi.make(d.line),
      metrics: (): MetricFamily[] => CoreMetrics.families(d),
      start(): void {
        d.start();
        duty.start();
        stages.start();
        loadTable.start();
      },
      async leave(): Promise<void> {
        duty.stop();
        stages.stop();
        await d.leave();
      },
      stop(): void {
        duty.stop();
        stages.stop();
        loadTable.stop();
        d.stop();
      },
    });
  },
};
