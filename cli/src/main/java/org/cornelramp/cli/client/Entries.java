package org.cornelramp.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.AppliedDocument;
import org.cornelramp.core.operate.OperatorJson;
import org.eclipse.jetty.http.HttpMethod;

/**
 * The entries that the operator named: a call goes to the first that answers. Confined to one thread.
 *
 * <p>A call that changes something goes on to the next entry only if the one before has not got it.
 */
public final class Entries {
    private static final String BASE = "/operator/v1/";
    private static final int SERVICE_UNAVAILABLE = 503;

    private final List<String> urls;
    private final HttpCaller caller;

    public Entries(List<String> urls, HttpCaller caller) {
        this.urls = List.copyOf(urls);
        this.caller = caller;
    }

    /** Reads a document from the first entry that gives it. */
    public <T> T get(String path, Class<T> type) throws CliException {
        List<String> failures = new ArrayList<>();
        Optional<Answer> refused = Optional.empty();
        for (String url : urls) {
            try {
                Answer answer = caller.call(HttpMethod.GET, url, BASE + path, "");
                if (answer.isSuccess()) {
                    return read(answer, type);
                }
                refused = Optional.of(answer);
                if (answer.status() != SERVICE_UNAVAILABLE) {
                    break;
                }
            } catch (CallFailure e) {
                failures.add(e.getMessage());
            }
        }
        if (refused.isPresent()) {
            throw refusal(refused.get());
        }
        throw unreachable(failures);
    }

    /** Reads a document from one entry; empty if it has none or does not answer. */
    public <T> Optional<T> getFrom(String url, String path, Class<T> type) throws CliException {
        try {
            Answer answer = caller.call(HttpMethod.GET, url, BASE + path, "");
            return answer.isSuccess() ? Optional.of(read(answer, type)) : Optional.empty();
        } catch (CallFailure e) {
            return Optional.empty();
        }
    }

    /**
     * Asks the first entry that can be reached for a change.
     *
     * @throws CallFailure if an entry may have got the call and did not answer
     */
    public <T> T post(String path, Object document, Class<T> type) throws CliException, CallFailure {
        String body = write(document);
        List<String> failures = new ArrayList<>();
        for (String url : urls) {
            try {
                Answer answer = caller.call(HttpMethod.POST, url, BASE + path, body);
                if (answer.isSuccess()) {
                    return read(answer, type);
                }
                throw refusal(answer);
            } catch (CallFailure e) {
                if (e.isSent()) {
                    throw e;
                }
                failures.add(e.getMessage());
            }
        }
        throw unreachable(failures);
    }

    /** All live entries: those named, and those that the VM list shows, each once by its own name. */
    public List<String> all() throws CliException {
        Set<String> names = new LinkedHashSet<>();
        List<String> all = new ArrayList<>();
        for (String url : urls) {
            Optional<AppliedDocument> document = getFrom(url, "applied", AppliedDocument.class);
            if (document.isPresent() && names.add(document.get().entry())) {
                all.add(url);
            }
        }
        if (all.isEmpty()) {
            throw unreachable(urls);
        }
        for (AppliedDocument.PeerEntry peer :
                get("applied", AppliedDocument.class).entries()) {
            if (names.add(peer.name())) {
                all.add("http://" + peer.address());
            }
        }
        return all;
    }

    private static <T> T read(Answer answer, Class<T> type) throws CliException {
        try {
            return OperatorJson.LENIENT.readValue(answer.body(), type);
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.UNKNOWN,
                    answer.entry() + " gave an answer of another form; use a command line of the same version");
        }
    }

    private static String write(Object document) {
        try {
            return OperatorJson.STRICT.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A document always has a JSON form", e);
        }
    }

    private static CliException unreachable(List<String> failures) {
        return new CliException(
                ExitCode.UNREACHABLE, "no entry answered, name others with --entry: " + String.join("; ", failures));
    }

    /** The entry's own words, with its remedy. */
    private static CliException refusal(Answer answer) {
        try {
            JsonNode problem = OperatorJson.LENIENT.readTree(answer.body());
            String kind = problem.path("title").asText("status " + answer.status());
            String outcome = problem.path("outcome").asText("");
            String text = answer.entry() + " refused: " + kind + ": "
                    + problem.path("detail").asText() + " "
                    + problem.path("remedy").asText();
            return new CliException(outcome.equals("unknown") ? ExitCode.UNKNOWN : ExitCode.REFUSED, text);
        } catch (JsonProcessingException e) {
            return new CliException(
                    ExitCode.REFUSED, answer.entry() + " refused with status " + answer.status() + "; is it an entry?");
        }
    }
}
