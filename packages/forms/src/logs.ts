import winston from 'winston';
import type { Log } from './log.js';

/** Loggers that write through winston. A line has the time, the daemon's id, the component and the message. */
export const Logs = {
  /** A factory of loggers by component. */
  make(id: string, level: string): (component: string) => Log {
    const logger = winston.createLogger({
      level,
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf(
          (entry) =>
            `${String(entry['timestamp'])} ${id} ` +
            `${entry.level === 'warn' ? '! ' : ''}[${String(entry['part'])}] ${String(entry.message)}`,
        ),
      ),
      transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
    });
    return (component) => ({
      info: (text) => {
        logger.info(text, { part: component });
      },
      warn: (text) => {
        logger.warn(text, { part: component });
      },
    });
  },
  /** A logger that discards everything. */
  silent: (): Log => ({ info: () => undefined, warn: () => undefined }),
};
