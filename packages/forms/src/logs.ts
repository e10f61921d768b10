import winston from 'winston';
import type { Log } from './log.js';

/** Logs through winston: a time, the daemon, the part's prefix, a short sentence. */
export const Logs = {
  make(id: string, level: string): (part: string) => Log {
    const all = winston.createLogger({
      level,
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf(
          (i) =>
            `${String(i['timestamp'])} ${id} ` +
            `${i.level === 'warn' ? '! ' : ''}[${String(i['part'])}] ${String(i.message)}`,
        ),
      ),
      transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
    });
    return (part) => ({
      say: (text) => {
        all.info(text, { part });
      },
      warn: (text) => {
        all.warn(text, { part });
      },
    });
  },
  quiet: (): Log => ({ say: () => undefined, warn: () => undefined }),
};
