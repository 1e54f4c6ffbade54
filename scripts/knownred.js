// The tests that may fail for a known fault, as KNOWN-RED.txt lists them, and which failures of a run they explain.

/** Separates a test's file, as TAP writes it, from its title, and the folders of the file from each other. */
const separator = ' › '

/**
 * Reads the list. Each entry is one line, `FILE: TITLE | cause | issue`, where FILE is the path of the test's source.
 * Throws if an entry has another form, so that no misspelt entry is passed over.
 */
export function readKnownRed (text) {
  const lines = text.split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'))
  return lines.map(line => {
    const [, file, title] = /^(\S+\.test\.ts): (.+?) \| /.exec(line) ?? []
    if (file === undefined) throw new Error(`KNOWN-RED.txt: this line has not the form "FILE: TITLE | cause | issue": ${line}`)
    return { file, title }
  })
}

/** The full name of a test in TAP: the folders and the name of its built file, then its title. */
function fullName ({ file, title }) {
  const built = file.replace('/test/', '/dist/test/').replace(/\.test\.ts$/, '')
  return [...built.split('/'), title].join(separator)
}

/**
 * Whether a line of TAP is about this test. AVA omits the folders that all files of a run share, so the line may lack
 * the first ones, but not a part of the title.
 */
export function isAbout (line, entry) {
  const [, name] = /^(?:not )?ok \d+ - (.*?)(?: # .*)?$/.exec(line) ?? []
  if (name === undefined || !name.endsWith(entry.title)) return false
  const full = fullName(entry)
  return full === name || full.endsWith(separator + name)
}

/** Sorts the lines of a TAP run: passed, failed, failed as listed (`excused`), and listed tests that passed. */
export function judge (lines, entries) {
  const passed = lines.filter(line => /^ok \d+ - /.test(line) && !line.includes('# SKIP'))
  const failed = lines.filter(line => /^not ok \d+ - /.test(line))
  const isListed = line => entries.some(entry => isAbout(line, entry))
  return { passed, failed: failed.filter(line => !isListed(line)), excused: failed.filter(isListed), recovered: passed.filter(isListed) }
}

/** The lines that TAP writes below a failed test: its details and its log. */
export function detailsOf (failedLine, lines) {
  const first = lines.indexOf(failedLine) + 1
  const length = lines.slice(first).findIndex(line => /^((not )?ok \d+|1\.\.\d+)/.test(line))
  return lines.slice(first, length < 0 ? undefined : first + length)
}
