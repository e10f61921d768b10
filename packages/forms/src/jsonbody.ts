import type { IncomingMessage } from 'node:http';
import { Err } from './err.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

/** The JSON body of an HTTP request. Invariant: bytes that are not valid UTF-8 are an error and never replaced. */
export const JsonBody = {
  /** Reads at most `maxBytes`. 'torn': the connection ended before the body did. */
  read(req: IncomingMessage, maxBytes: number): Promise<Result<unknown, 'large' | 'json' | 'torn'>> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      req.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size <= maxBytes) chunks.push(chunk);
        else {
          chunks.length = 0;
          resolve(Err('large'));
        }
      });
      req.on('error', () => resolve(Err('torn')));
      req.on('close', () => resolve(Err('torn')));
      req.on('end', () => {
        try {
          const text = new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks));
          resolve(Ok(text === '' ? {} : (JSON.parse(text) as unknown)));
        } catch {
          resolve(Err('json'));
        }
      });
    });
  },
};
