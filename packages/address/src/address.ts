/**
 * Addresses, as `host:port`. Every address that another process, the store or a settings file names is checked here
 * before it is used: a URL or a socket throws on one that it does not accept, and only where the call is made.
 */
import { z } from 'zod'

/** Upper bounds in characters: of a host name (RFC 1035), and of a whole address. */
const maxHostLength = 253
const maxLength = maxHostLength + ':65535'.length

/** A host name or an IPv4 address, and a port. */
const form = /^([a-z0-9](?:[a-z0-9._-]*[a-z0-9])?):(\d{1,5})$/i

/** The highest port of TCP and UDP. */
const maxPort = 65_535

/** An address that a call can be sent to. */
export const Address = z.string().max(maxLength).refine(text => isAddress(text, 1), 'an address as host:port, such as 127.0.0.1:7000')

/** An address to listen on. With port 0, the system chooses the port. */
export const ListenAddress = z.string().max(maxLength).refine(text => isAddress(text, 0), 'an address as host:port, such as 127.0.0.1:7000')

function isAddress (text: string, minPort: number): boolean {
  const [, host, port] = form.exec(text) ?? []
  return host !== undefined && Number(port) >= minPort && Number(port) <= maxPort && isHost(host)
}

/** Whether a URL keeps the host as it is. It rejects some hosts (`1.2.3.4.5`), and reads others as another one (`1.2`). */
function isHost (host: string): boolean {
  const url = `http://${host}/`
  return host.length <= maxHostLength && URL.canParse(url) && new URL(url).hostname === host.toLowerCase()
}

/** The parts of an address that `Address` or `ListenAddress` accepts. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
