/** How large a fleet is played. */
export type Size = {
  name: string;
  routers: number;
  keepers: number;
  losses: number;
  readers: number;
  decoders: number;
};
