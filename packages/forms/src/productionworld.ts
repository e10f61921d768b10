import type { HistoryEvent } from './historyevent.js';
import type { Disk } from './disk.js';
import type { ListenerLimits } from './listenerlimits.js';
import { Logs } from './logs.js';
import { SystemClock } from './systemclock.js';
import { TcpWire } from './tcpwire.js';
import type { Wire } from './wire.js';
import type { World } from './world.js';

/** The environment of a daemon on a real machine. */
export const ProductionWorld = {
  /** Listens for messages at `addr`. Events of the run are logged at level `debug` only. */
  async make(
    id: string,
    addr: string,
    level: string,
    disk: Disk | null,
    limits?: ListenerLimits,
  ): Promise<World & { wire: Wire & { close(): Promise<void> } }> {
    const log = Logs.make(id, level);
    const eventLog = log('deed');
    return {
      clock: SystemClock.make(),
      random: { real: () => Math.random() },
      wire: await TcpWire.make(addr, log('wire'), limits),
      disk,
      log,
      recordEvent: (event: Omit<HistoryEvent, 'who' | 'at'>) => {
        if (level === 'debug') eventLog.info(JSON.stringify(event));
      },
    };
  },
};
