import type { IncomingMessage } from 'node:http';
import { Err } from './err.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

/** The JSON body of an HTTP call, read up to a limit. Invariant: bytes that are not UTF-8 are a fault, never mended. */
export const JsonBody = {
  read(req: IncomingMessage, most: number): Promise<Result<unknown, 'large' | 'json' | 'torn'>> {
    return new Promise((done) => {
      const bits: Buffer[] = [];
      let size = 0;
      req.on('data', (b: Buffer) => {
        size += b.length;
        if (size <= most) bits.push(b);
        else {
          bits.length = 0;
          done(Err('large'));
        }
      });
      req.on('error', () => done(Err('torn')));
      req.on('close', () => done(Err('torn')));
      req.on('end', () => {
        try {
          const text = new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(bits));
          done(Ok(text === '' ? {} : (JSON.parse(text) as unknown)));
        } catch {
          done(Err('json'));
        }
      });
    });
  },
};
