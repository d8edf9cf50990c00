/** Addresses of the form `a.b.c.d:port`. Owns nothing; does not check what it is given. */

/** Host and port of an address. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Host of an address. */
export function hostOf(address: string): string {
  return splitAddress(address).host;
}
