import type { Static, TSchema } from 'typebox';
import type { Ident } from './ident.js';
import type { Result } from './result.js';
import type { WireFault } from './wirefault.js';

/** A daemon's way to hear, to ask and to tell. What is told has no reply, and may be lost. */
export type PostBox = {
  on<S extends TSchema>(kind: string, form: S, fn: (body: NoInfer<Static<S>>, from: Ident) => unknown): void;
  heed<S extends TSchema>(kind: string, form: S, fn: (body: NoInfer<Static<S>>, from: Ident) => void): void;
  tell(addr: string, to: string, kind: string, body: unknown): void;
  ask<S extends TSchema>(
    addr: string,
    to: string,
    kind: string,
    body: unknown,
    form: S,
    ms: number,
  ): Promise<Result<NoInfer<Static<S>>, WireFault>>;
  close(): void;
};
