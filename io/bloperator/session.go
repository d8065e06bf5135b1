package bloperator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
)

// sign returns an HMAC of purpose under the operators' token. Only a holder of
// the token can obtain it.
func (c *console) sign(purpose string) (string, error) {
	token, err := c.operator.token()
	if err != nil {
		return "", err
	}
	mac := hmac.New(sha256.New, []byte(token))
	_, _ = mac.Write([]byte(purpose))
	return hex.EncodeToString(mac.Sum(nil)), nil
}

func (c *console) verify(purpose, given string) bool {
	want, err := c.sign(purpose)
	return err == nil && subtle.ConstantTimeCompare([]byte(want), []byte(given)) == 1
}

// Inputs of the HMACs, one for the session cookie and one for the CSRF token of
// the forms.
const (
	purposeSession = "session"
	purposeForm    = "form"
)

// withSession requires the session cookie, and on POST the CSRF token, so that
// forms posted by other sites are refused.
func (c *console) withSession(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cookie, err := r.Cookie(sessionCookie)
		if err != nil || !c.verify(purposeSession, cookie.Value) {
			http.Redirect(w, r, "/login", http.StatusSeeOther)
			return
		}
		if r.Method != http.MethodPost {
			next(w, r)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		if err := r.ParseForm(); err != nil || !c.verify(purposeForm, r.PostFormValue("form_seal")) {
			http.Error(w, "the form was not sent from this console", http.StatusForbidden)
			return
		}
		next(w, r)
	}
}

type loginData struct {
	Fault string
}

func (c *console) loginPage(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "login.html", loginData{})
}

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	token, err := c.operator.token()
	if err != nil {
		c.render(w, http.StatusForbidden, "login.html", loginData{Fault: "No operators' token is set for this node."})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if subtle.ConstantTimeCompare([]byte(r.PostFormValue("token")), []byte(token)) != 1 {
		c.render(w, http.StatusUnauthorized, "login.html", loginData{Fault: "That is not the operators' token."})
		return
	}
	session, err := c.sign(purposeSession)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	http.SetCookie(w, &http.Cookie{ //nolint:gosec // the listener serves plain HTTP, over which browsers send no Secure cookie
		Name: sessionCookie, Value: session, Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode,
	})
	http.Redirect(w, r, "/", http.StatusSeeOther)
}
