import type { IncomingMessage } from 'node:http';
import { ByteCollector } from './bytecollector.js';
import { Err } from './err.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

/** The JSON body of an HTTP request. Invariant: bytes that are not valid UTF-8 are an error and never replaced. */
export const JsonBody = {
  /** Reads at most `maxBytes`. 'torn': the connection ended before the body did. */
  read(req: IncomingMessage, maxBytes: number): Promise<Result<unknown, 'large' | 'json' | 'torn'>> {
    return new Promise((resolve) => {
      const bytes = ByteCollector.make();
      let isTooLarge = false;
      req.on('data', (chunk: Buffer) => {
        if (isTooLarge) return;
        bytes.add(chunk);
        if (bytes.size() <= maxBytes) return;
        isTooLarge = true;
        bytes.clear();
        resolve(Err('large'));
      });
      req.on('error', () => resolve(Err('torn')));
      req.on('close', () => resolve(Err('torn')));
      req.on('end', () => {
        try {
          const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes.take());
          resolve(Ok(text === '' ? {} : (JSON.parse(text) as unknown)));
        } catch {
          resolve(Err('json'));
        }
      });
    });
  },
};
