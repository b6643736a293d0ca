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
 * Calls the operators' interface of the entries that the operator named, in that order, until one answers. Confined to
 * one thread.
 *
 * <p>A call that changes something is sent to the next entry only if the one before cannot have received it.
 */
public final class EntryClient {
    private static final String BASE_PATH = "/operator/v1/";
    private static final int SERVICE_UNAVAILABLE = 503;

    private final List<String> urls;
    private final OperatorHttpClient http;

    public EntryClient(List<String> urls, OperatorHttpClient http) {
        this.urls = List.copyOf(urls);
        this.http = http;
    }

    /**
     * Reads a document from the first entry that returns it. The next entry is tried only if the one before did not
     * answer or responded with status 503.
     */
    public <T> T get(String path, Class<T> type) throws CliException {
        List<String> failures = new ArrayList<>();
        Optional<EntryResponse> errorResponse = Optional.empty();
        for (String url : urls) {
            try {
                EntryResponse response = http.call(HttpMethod.GET, url, BASE_PATH + path, "");
                if (response.isSuccess()) {
                    return readDocument(response, type);
                }
                errorResponse = Optional.of(response);
                if (response.status() != SERVICE_UNAVAILABLE) {
                    break;
                }
            } catch (CallException e) {
                failures.add(e.getMessage());
            }
        }
        if (errorResponse.isPresent()) {
            throw refusal(errorResponse.get());
        }
        throw unreachable(failures);
    }

    /** Reads a document from one entry; empty if the entry responds with an error or not at all. */
    public <T> Optional<T> getFrom(String url, String path, Class<T> type) throws CliException {
        try {
            EntryResponse response = http.call(HttpMethod.GET, url, BASE_PATH + path, "");
            return response.isSuccess() ? Optional.of(readDocument(response, type)) : Optional.empty();
        } catch (CallException e) {
            return Optional.empty();
        }
    }

    /**
     * Sends a change to the first entry that can be reached.
     *
     * @throws CallException if an entry may have received the call but did not answer
     */
    public <T> T post(String path, Object document, Class<T> type) throws CliException, CallException {
        String body = toJson(document);
        List<String> failures = new ArrayList<>();
        for (String url : urls) {
            try {
                EntryResponse response = http.call(HttpMethod.POST, url, BASE_PATH + path, body);
                if (response.isSuccess()) {
                    return readDocument(response, type);
                }
                throw refusal(response);
            } catch (CallException e) {
                if (e.mayHaveBeenSent()) {
                    throw e;
                }
                failures.add(e.getMessage());
            }
        }
        throw unreachable(failures);
    }

    /**
     * Base URLs of all live entries: those that the operator named and that answer, and those on the VM list. An entry
     * that is found under several URLs appears once, by its own name.
     */
    public List<String> liveEntryUrls() throws CliException {
        Set<String> names = new LinkedHashSet<>();
        List<String> liveUrls = new ArrayList<>();
        for (String url : urls) {
            Optional<AppliedDocument> document = getFrom(url, "applied", AppliedDocument.class);
            if (document.isPresent() && names.add(document.get().entry())) {
                liveUrls.add(url);
            }
        }
        if (liveUrls.isEmpty()) {
            throw unreachable(urls);
        }
        for (AppliedDocument.PeerEntry peer :
                get("applied", AppliedDocument.class).entries()) {
            if (names.add(peer.name())) {
                liveUrls.add("http://" + peer.address());
            }
        }
        return liveUrls;
    }

    private static <T> T readDocument(EntryResponse response, Class<T> type) throws CliException {
        try {
            return OperatorJson.LENIENT.readValue(response.body(), type);
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.UNKNOWN,
                    response.entryUrl()
                            + " returned a response of an unknown format; use a command line of the same version");
        }
    }

    private static String toJson(Object document) {
        try {
            return OperatorJson.STRICT.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The document cannot be written as JSON", e);
        }
    }

    private static CliException unreachable(List<String> failures) {
        return new CliException(
                ExitCode.UNREACHABLE, "no entry answered, name others with --entry: " + String.join("; ", failures));
    }

    /** Builds the error from the problem document of the entry, with its detail and remedy. */
    private static CliException refusal(EntryResponse response) {
        try {
            JsonNode problem = OperatorJson.LENIENT.readTree(response.body());
            String kind = problem.path("title").asText("status " + response.status());
            String outcome = problem.path("outcome").asText("");
            String text = response.entryUrl() + " refused: " + kind + ": "
                    + problem.path("detail").asText() + " "
                    + problem.path("remedy").asText();
            return new CliException(outcome.equals("unknown") ? ExitCode.UNKNOWN : ExitCode.REFUSED, text);
        } catch (JsonProcessingException e) {
            return new CliException(
                    ExitCode.REFUSED,
                    response.entryUrl() + " refused with status " + response.status() + "; is it an entry?");
        }
    }
}
