import { FileDisk, ProductionWorld, MetricsRegistry, Program, SettingsReader } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { CoreMeter, RegistryNode } from '@pumicebarrow/registry';
import { CoreHttpServer } from './corehttpserver.js';
import { Settings } from './settings.js';

/** Command-line options. */
const OPTIONS = [
  { name: 'id', help: 'id of the daemon', kind: 'text' },
  { name: 'addr', help: 'IP:PORT at which other daemons reach it', kind: 'text' },
  { name: 'hear', help: 'IP:PORT to listen on, if different from addr', kind: 'text' },
  { name: 'http', help: 'IP:PORT that serves /health and /metrics; without it neither is served', kind: 'text' },
  { name: 'site', help: 'zone of the daemon', kind: 'text' },
  {
    name: 'seeds',
    help: 'IP:PORT of another daemon, including the other core daemons; at least three are required',
    kind: 'list',
  },
  { name: 'data', help: 'data folder', kind: 'text' },
  { name: 'level', help: 'log level: debug, info or warn', kind: 'text' },
] as const;

/** Entry point of registryd: runs a core daemon with the real clock, network and disk. */
export const Main = {
  async run(argv: readonly string[]): Promise<void> {
    const settings = await Program.readSettings('registryd', 'a core daemon of pumicebarrow', OPTIONS, Settings, argv);
    const dataFolder = await SettingsReader.ensureFolder(settings.data);
    if (dataFolder.err) Program.exitInvalid('registryd', dataFolder.val);
    try {
      const world = await ProductionWorld.make(
        settings.id,
        settings.hear ?? settings.addr,
        settings.level ?? 'info',
        await FileDisk.make(settings.data),
      );
      const metrics = MetricsRegistry.make();
      const created = await RegistryNode.make(CoreMeter.countEvents(world, metrics), {
        id: settings.id,
        addr: settings.addr,
        site: settings.site,
        seeds: settings.seeds,
        ...(settings.losses === undefined ? {} : { losses: settings.losses }),
        ...(settings.first === undefined ? {} : { first: settings.first }),
        tunes: { ...GossipDefaults, ...settings.purge },
      });
      if (created.err) throw new Error(created.val);
      const node = created.val;
      CoreMeter.registerGauges(metrics, node);
      const httpServer = settings.http
        ? await CoreHttpServer.make(settings.http, metrics, () => ({
            life: node.core.lifecycleState(),
            speaks: node.core.holdsLease(),
          }))
        : null;
      node.start();
      Program.onTermination(async () => {
        await node.leave();
        node.stop();
        await httpServer?.close();
        await world.wire.close();
      });
    } catch (e) {
      Program.exitFailed('registryd', e);
    }
  },
};
